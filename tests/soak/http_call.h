#pragma once

#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "http/message.h"

namespace wagtailpick::soak {

/// Sends one request to `address` (IP:PORT) on a new connection and returns the complete answer.
/// Returns `nullopt` if the address is invalid, the connection fails or closes early, the answer
/// cannot be parsed or `timeout` passes. A GET without a body has no Content-Length.
std::optional<http::Response> Call(const std::string& address, const http::Request& request,
                                   base::Duration timeout);

}  // namespace wagtailpick::soak
