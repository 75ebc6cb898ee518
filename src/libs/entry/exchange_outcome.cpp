#include "entry/exchange_outcome.h"

namespace wagtailpick::entry {
namespace {

using admission::SlotOutcome;
using base::Verdict;

constexpr int kServerError = 500;

bool WasShedBeforeRunning(const http::Exchange& exchange) {
  const std::string* shed = http::FindHeader(exchange.headers, "X-Upstream-Shed");
  return exchange.answer_status == 503 && shed != nullptr && *shed == "not-run";
}

SlotOutcome OutcomeOf(http::ExchangeStatus status) {
  switch (status) {
    case http::ExchangeStatus::kTimedOut:
      return SlotOutcome::kTimedOut;
    case http::ExchangeStatus::kCancelled:
      return SlotOutcome::kCancelled;
    default:
      return SlotOutcome::kLost;
  }
}

}  // namespace

ExchangeOutcome ClassifyExchange(const http::Exchange& exchange, const std::string& request_id) {
  if (exchange.status == http::ExchangeStatus::kNotSent) {
    return {Verdict::kNotRun, SlotOutcome::kConnectRefused, "not_sent", false};
  }
  if (exchange.status != http::ExchangeStatus::kComplete) {
    return {Verdict::kMayHaveRun, OutcomeOf(exchange.status),
            std::string(http::ToString(exchange.status)),
            exchange.status == http::ExchangeStatus::kConnectionLost};
  }
  const std::string* echo = http::FindHeader(exchange.headers, "X-Request-Id");
  if (echo != nullptr && *echo != request_id) {
    return {Verdict::kMayHaveRun, SlotOutcome::kLost, "foreign_answer", false};
  }
  if (WasShedBeforeRunning(exchange)) return {Verdict::kNotRun, SlotOutcome::kShed, "shed", false};
  const bool is_error = exchange.answer_status >= kServerError;
  return {Verdict::kRan, is_error ? SlotOutcome::kErrorAnswer : SlotOutcome::kAnswered, "", false};
}

}  // namespace wagtailpick::entry
