#include "entry/error_answer.h"

#include <nlohmann/json.hpp>

#include "base/printable_text.h"
#include "http/json_answer.h"

namespace wagtailpick::entry {
namespace {

constexpr std::uint32_t kUnavailableRetryMs = 1'000;

}  // namespace

http::Response ErrorAnswer(const ErrorInfo& info) {
  const nlohmann::json body{{"error", base::ToPrintable(info.message, http::kMaxErrorBytes)},
                            {"reason", info.reason},
                            {"verdict", base::ToString(info.verdict)},
                            {"attempt_verdict", base::ToString(info.attempt_verdict)},
                            {"request_id", info.request_id},
                            {"retry_after_ms", info.retry_after_ms}};
  auto response = http::JsonAnswer(info.status, body);
  response.headers.push_back({"Cache-Control", "no-store"});
  response.headers.push_back({"X-Wagtailpick-Verdict", std::string(base::ToString(info.verdict))});
  if (!info.request_id.empty()) {
    response.headers.push_back({"X-Wagtailpick-Request-Id", info.request_id});
  }
  if (info.retry_after_ms > 0) {
    // The field is in whole seconds; rounding down would make callers retry too early.
    response.headers.push_back(
        {"Retry-After", std::to_string((info.retry_after_ms + 999) / 1'000)});
  }
  return response;
}

http::Response BadRequest(const std::string& message) {
  ErrorInfo info;
  info.status = 400;
  info.reason = "bad_request";
  info.message = message;
  return ErrorAnswer(info);
}

http::Response NotFound(const std::string& message) {
  ErrorInfo info;
  info.status = 404;
  info.reason = "not_found";
  info.message = message;
  return ErrorAnswer(info);
}

http::Response Unavailable(const std::string& message) {
  ErrorInfo info;
  info.reason = "unavailable";
  info.message = message;
  info.retry_after_ms = kUnavailableRetryMs;
  return ErrorAnswer(info);
}

}  // namespace wagtailpick::entry
