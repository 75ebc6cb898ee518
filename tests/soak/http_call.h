#pragma once

#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "http/message.h"

namespace wagtailpick::soak {

/// Sends one request to `address` on a new connection and waits for the whole answer. Nothing when
/// the connection fails, ends early, or `timeout` passes. A GET without a body sends no length.
std::optional<http::Response> Call(const std::string& address, const http::Request& request,
                                   base::Duration timeout);

}  // namespace wagtailpick::soak
