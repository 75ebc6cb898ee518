#include "entry/exchange_outcome.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using wagtailpick::admission::SlotOutcome;
using wagtailpick::base::Verdict;
using wagtailpick::entry::ClassifyExchange;
using wagtailpick::http::Exchange;
using wagtailpick::http::ExchangeStatus;
using wagtailpick::http::Headers;

struct Row {
  const char* name;
  ExchangeStatus status;
  int answer_status;
  Headers headers;
  Verdict verdict;
  SlotOutcome slot_outcome;
  bool is_strike;
};

const std::vector<Row> rows = {
    {"whole", ExchangeStatus::kComplete, 200, {}, Verdict::kRan, SlotOutcome::kAnswered, false},
    {"whole, echo",
     ExchangeStatus::kComplete,
     200,
     {{"x-request-id", "id"}},
     Verdict::kRan,
     SlotOutcome::kAnswered,
     false},
    {"error", ExchangeStatus::kComplete, 500, {}, Verdict::kRan, SlotOutcome::kErrorAnswer, false},
    {"503 without shed",
     ExchangeStatus::kComplete,
     503,
     {},
     Verdict::kRan,
     SlotOutcome::kErrorAnswer,
     false},
    {"shed",
     ExchangeStatus::kComplete,
     503,
     {{"X-Upstream-Shed", "not-run"}},
     Verdict::kNotRun,
     SlotOutcome::kShed,
     false},
    {"shed field on a success",
     ExchangeStatus::kComplete,
     200,
     {{"X-Upstream-Shed", "not-run"}},
     Verdict::kRan,
     SlotOutcome::kAnswered,
     false},
    {"another request's shed",
     ExchangeStatus::kComplete,
     503,
     {{"X-Request-Id", "other"}, {"X-Upstream-Shed", "not-run"}},
     Verdict::kMayHaveRun,
     SlotOutcome::kLost,
     false},
    {"answer to another request",
     ExchangeStatus::kComplete,
     200,
     {{"X-Request-Id", "other"}},
     Verdict::kMayHaveRun,
     SlotOutcome::kLost,
     false},
    {"not sent",
     ExchangeStatus::kNotSent,
     0,
     {},
     Verdict::kNotRun,
     SlotOutcome::kConnectRefused,
     false},
    {"lost",
     ExchangeStatus::kConnectionLost,
     0,
     {},
     Verdict::kMayHaveRun,
     SlotOutcome::kLost,
     true},
    {"lost within an answer",
     ExchangeStatus::kConnectionLost,
     503,
     {{"X-Upstream-Shed", "not-run"}},
     Verdict::kMayHaveRun,
     SlotOutcome::kLost,
     true},
    {"timed out",
     ExchangeStatus::kTimedOut,
     0,
     {},
     Verdict::kMayHaveRun,
     SlotOutcome::kTimedOut,
     false},
    {"bad answer",
     ExchangeStatus::kBadAnswer,
     200,
     {},
     Verdict::kMayHaveRun,
     SlotOutcome::kLost,
     false},
    {"cancelled",
     ExchangeStatus::kCancelled,
     0,
     {},
     Verdict::kMayHaveRun,
     SlotOutcome::kCancelled,
     false},
};

}  // namespace

// Guards against the verdict "not run" for a request that an upstream may have run.
Test(exchange_outcome, exchanges_are_classified_by_status_and_headers) {
  for (const auto& row : rows) {
    Exchange exchange;
    exchange.status = row.status;
    exchange.answer_status = row.answer_status;
    exchange.headers = row.headers;
    const auto outcome = ClassifyExchange(exchange, "id");
    cr_expect(outcome.verdict == row.verdict, "%s: verdict", row.name);
    cr_expect(outcome.slot_outcome == row.slot_outcome, "%s: outcome", row.name);
    cr_expect_eq(outcome.is_strike, row.is_strike, "%s: strike", row.name);
  }
}
