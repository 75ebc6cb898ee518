#include "net/http_text.h"

#include <http_parser.h>

namespace wagtailpick::net {
namespace {

constexpr std::size_t kUsualHeadBytes = 512;
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

std::string RenderRequestHead(const http::Request& request, std::size_t body_bytes) {
  std::string out;
  out.reserve(kUsualHeadBytes);
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  AppendHeaders(request.headers, out);
  const bool has_length = http::FindHeader(request.headers, "content-length") != nullptr ||
                          http::FindHeader(request.headers, "transfer-encoding") != nullptr;
  if (has_length || body_bytes != 0) {
    out.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  }
  out.append("\r\n");
  return out;
}

std::string RenderRequest(const http::Request& request) {
  return RenderRequestHead(request, request.body.size()) + request.body;
}

std::string RenderResponseHead(const http::Response& response, bool close) {
  std::string out;
  out.reserve(kUsualHeadBytes);
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  out.append(ReasonPhrase(response.status)).append("\r\n");
  AppendHeaders(response.headers, out);
  if (!HasNoBody(response.status)) {
    out.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
  }
  if (close) out.append("Connection: close\r\n");
  out.append("\r\n");
  return out;
}

bool SendsBody(const http::Response& response, bool head) {
  return !head && !HasNoBody(response.status);
}

std::string RenderResponse(const http::Response& response, bool close, bool head) {
  auto out = RenderResponseHead(response, close);
  if (SendsBody(response, head)) out.append(response.body);
  return out;
}

}  // namespace wagtailpick::net
