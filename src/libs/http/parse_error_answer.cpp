#include "http/parse_error_answer.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace wagtailpick::http {
namespace {

struct ParseError {
  /// Name of the error in the parser's log text.
  std::string_view name;
  std::string_view status;
  std::string_view message;
};

// When a message exceeds a limit, the parser names the callback that rejected it.
constexpr std::array<ParseError, 6> kLimitErrors{{
    {"HPE_CB_url", "414 URI Too Long", "the target is too long"},
    {"HPE_CB_header_field", "431 Request Header Fields Too Large", "the headers are too large"},
    {"HPE_CB_header_value", "431 Request Header Fields Too Large", "the headers are too large"},
    {"HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large", "the headers are too large"},
    {"HPE_CB_headers_complete", "413 Content Too Large", "the body is too large"},
    {"HPE_CB_body", "413 Content Too Large", "the body is too large"},
}};
constexpr ParseError kMalformed{"", "400 Bad Request", "the request is malformed"};
constexpr std::string_view kErrorNamePrefix = "parser error ";

}  // namespace

std::optional<std::string> ParseErrorAnswer(const std::string& error) {
  const auto prefix = error.find(kErrorNamePrefix);
  if (prefix == std::string::npos) return std::nullopt;
  std::string_view name = error;
  name.remove_prefix(prefix + kErrorNamePrefix.size());
  const auto found = std::find_if(kLimitErrors.begin(), kLimitErrors.end(), [&](const auto& row) {
    return name.starts_with(std::string(row.name) + ":");
  });
  const ParseError& row = found == kLimitErrors.end() ? kMalformed : *found;
  const std::string body = BadInputBody(row.message);
  return "HTTP/1.1 " + std::string(row.status) +
         "\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"
         "X-Wagtailpick-Verdict: not_run\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string BadInputBody(std::string_view message) {
  return R"({"error":")" + std::string(message) +
         R"(","reason":"bad_request","verdict":"not_run",)" +
         R"("attempt_verdict":"not_run","request_id":"","retry_after_ms":0})";
}

}  // namespace wagtailpick::http
