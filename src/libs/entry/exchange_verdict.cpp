#include "entry/exchange_verdict.h"

namespace wagtailpick::entry {
namespace {

using base::Verdict;

bool WasShedUnrun(const http::Exchange& exchange) {
  const std::string* shed = http::FindHeader(exchange.headers, "X-Upstream-Shed");
  return exchange.answer_status == 503 && shed != nullptr && *shed == "not-run";
}

}  // namespace

ExchangeVerdict JudgeExchange(const http::Exchange& exchange, const std::string& request_id) {
  if (exchange.status == http::ExchangeStatus::kNotSent) {
    return {Verdict::kNotRun, "not_sent", false};
  }
  if (exchange.status != http::ExchangeStatus::kComplete) {
    const bool is_strike = exchange.status == http::ExchangeStatus::kConnectionLost;
    return {Verdict::kMayHaveRun, std::string(http::ToString(exchange.status)), is_strike};
  }
  const std::string* echo = http::FindHeader(exchange.headers, "X-Request-Id");
  if (echo != nullptr && *echo != request_id) {
    return {Verdict::kMayHaveRun, "foreign_answer", false};
  }
  if (WasShedUnrun(exchange)) return {Verdict::kNotRun, "shed", false};
  return {Verdict::kRan, "", false};
}

}  // namespace wagtailpick::entry
