#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace wagtailpick::net {

/// Serializes the head of a request whose body has `body_bytes` bytes. Hop-by-hop fields and a
/// Content-Length among the headers are omitted; the Content-Length is `body_bytes`.
std::string RenderRequestHead(const http::Request& request, std::size_t body_bytes);

/// Serializes a request with its body.
std::string RenderRequest(const http::Request& request);

/// Serializes the head of a response in the same way. `close` adds `Connection: close`.
std::string RenderResponseHead(const http::Response& response, bool close);

/// Whether the body of a response is sent; `head` states that it answers a HEAD request.
bool SendsBody(const http::Response& response, bool head);

/// Serializes a response with its body, if that is sent.
std::string RenderResponse(const http::Response& response, bool close, bool head);

/// Returns the reason phrase of a status code, or "Unknown" for an unregistered code.
std::string_view ReasonPhrase(int status);

}  // namespace wagtailpick::net
