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
constexpr std::array<ParseError, 8> kNamedErrors{{
    {"HPE_CB_url", "414 URI Too Long", "the target is too long"},
    {"HPE_CB_header_field", "431 Request Header Fields Too Large", "the headers are too large"},
    {"HPE_CB_header_value", "431 Request Header Fields Too Large", "the headers are too large"},
    {"HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large", "the headers are too large"},
    {"HPE_CB_headers_complete", "413 Content Too Large", "the body is too large"},
    {"HPE_CB_body", "413 Content Too Large", "the body is too large"},
    {"HPE_INVALID_METHOD", "501 Not Implemented", "the method is not served"},
    {"method", "501 Not Implemented", "the method is not served"},
}};
constexpr ParseError kMalformed{"", "400 Bad Request", "the request is malformed"};
/// What stands before the name of an error of the parser, and of one of `MessageFraming`.
constexpr std::array<std::string_view, 2> kErrorNamePrefixes{"parser error ", "framing error "};

/// Returns the text from the name of an error on; nothing if `error` names none.
std::optional<std::string_view> FindErrorName(std::string_view error) {
  for (const auto prefix : kErrorNamePrefixes) {
    const auto at = error.find(prefix);
    if (at != std::string_view::npos) return error.substr(at + prefix.size());
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> ParseErrorAnswer(const std::string& error) {
  const auto name = FindErrorName(error);
  if (!name) return std::nullopt;
  const auto* const found = std::find_if(
      kNamedErrors.begin(), kNamedErrors.end(),
      [&](const auto& row) { return name->substr(0, name->find_first_of(":;")) == row.name; });
  const ParseError& row = found == kNamedErrors.end() ? kMalformed : *found;
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
