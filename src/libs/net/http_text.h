#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace wagtailpick::net {

/// Serializes a request. Hop-by-hop fields and a Content-Length among the headers are omitted; the
/// Content-Length is computed from the body.
std::string RenderRequest(const http::Request& request);

/// Serializes a response in the same way. `close` adds `Connection: close`; `head` omits the body,
/// as for the answer to a HEAD request.
std::string RenderResponse(const http::Response& response, bool close, bool head);

/// Returns the reason phrase of a status code, or "Unknown" for an unregistered code.
std::string_view ReasonPhrase(int status);

}  // namespace wagtailpick::net
