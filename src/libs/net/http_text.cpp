#include "net/http_text.h"

#include <http_parser.h>

namespace wagtailpick::net {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

void AppendHeaders(const http::Headers& headers, std::string& out) {
  for (const auto& header : headers) {
    if (http::IsHopByHop(header.name) || http::SameName(header.name, "content-length")) continue;
    out.append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

bool HasNoBody(int status) { return status == kNoContent || status == kNotModified; }

}  // namespace

std::string_view ReasonPhrase(int status) {
  switch (status) {
#define WAGTAILPICK_STATUS(code, name, text) \
  case code:                                 \
    return #text;
    HTTP_STATUS_MAP(WAGTAILPICK_STATUS)
#undef WAGTAILPICK_STATUS
    default:
      return "Unknown";
  }
}

std::string RenderRequest(const http::Request& request) {
  std::string out;
  out.reserve(512 + request.body.size());
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  AppendHeaders(request.headers, out);
  const bool has_length = http::FindHeader(request.headers, "content-length") != nullptr ||
                          http::FindHeader(request.headers, "transfer-encoding") != nullptr;
  if (has_length || !request.body.empty()) {
    out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  out.append("\r\n").append(request.body);
  return out;
}

std::string RenderResponse(const http::Response& response, bool close, bool head) {
  std::string out;
  out.reserve(512 + response.body.size());
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  out.append(ReasonPhrase(response.status)).append("\r\n");
  AppendHeaders(response.headers, out);
  if (!HasNoBody(response.status)) {
    out.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
  }
  if (close) out.append("Connection: close\r\n");
  out.append("\r\n");
  if (!head && !HasNoBody(response.status)) out.append(response.body);
  return out;
}

}  // namespace wagtailpick::net
