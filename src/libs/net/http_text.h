#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace wagtailpick::net {

/// Renders a request with its own body length; fields that concern one connection, and lengths that
/// it came with, are left out.
std::string RenderRequest(const http::Request& request);

/// Renders a response. `close` announces the end of the connection; `head` leaves out the body of
/// the answer to a HEAD request.
std::string RenderResponse(const http::Response& response, bool close, bool head);

/// Reason phrase of a status code, "Unknown" for one without.
std::string_view ReasonPhrase(int status);

}  // namespace wagtailpick::net
