#include <algorithm>
#include <array>
#include <utility>

#include "relay/request_run.h"

// The part of RequestRun that handles the answers of upstreams.

namespace wagtailpick::relay {
namespace {

using placement::Outcome;

/// Statuses by which callers take a request for not run.
constexpr std::array<int, 4> kNotRunStatuses{408, 421, 429, 503};
/// Reason in logs and metrics.
constexpr std::string_view kServerFailureReason = "server_failure";

bool StatesNotRun(int status) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) != kNotRunStatuses.end();
}

}  // namespace

void RequestRun::HandleAnswer(const Attempt& attempt, http::Response response) {
  auto classified = relay_.dialect_.classify_answer(response, attributes_);
  // Passed on, the status would deny what another attempt has run or still runs.
  if (classified.kind == AnswerKind::kFinal && StatesNotRun(response.status) && MayHaveRun()) {
    classified.kind = AnswerKind::kNotRun;
  }
  ApplyUpstreamStatus(attempt, classified);
  EndAnsweredAttempt(attempt, classified);
  // A duplicate of the answer may follow on the connection. A refusal without a request id would
  // then be taken for the answer to the next request.
  const bool is_own =
      classified.kind == AnswerKind::kFinal || classified.kind == AnswerKind::kServerFailure;
  if (!is_own) attempt.connection->Close();
  if (classified.kind == AnswerKind::kFinal && relay_.crash_guard_.has_suspects()) {
    relay_.crash_guard_.AddSuccess(fingerprint(), attempt.choice.address);
  }
  if (classified.kind == AnswerKind::kFinal) return Finish(std::move(response), "served", "");
  // The other attempt may still be answered.
  if (!attempts_.empty()) return;
  HandleUnusedAnswer(attempt, classified, std::move(response));
}

void RequestRun::EndAnsweredAttempt(const Attempt& attempt, const ClassifiedAnswer& classified) {
  switch (classified.kind) {
    case AnswerKind::kFinal:
      EndAttempt(attempt, Outcome::kServed, "served");
      break;
    case AnswerKind::kServerFailure:
      EndAttempt(attempt, Outcome::kFailed, "server_failure");
      may_have_run_ = true;
      break;
    case AnswerKind::kNotRun:
      EndAttempt(attempt, classified.back_off_for ? Outcome::kBackOff : Outcome::kShed, "not_run");
      break;
    case AnswerKind::kOtherUpstream:
      EndAttempt(attempt, Outcome::kUnreachable, "other_upstream");
      break;
    case AnswerKind::kForeign:
      EndAttempt(attempt, Outcome::kFailed, "foreign_answer");
      may_have_run_ = true;
      break;
  }
}

void RequestRun::HandleUnusedAnswer(const Attempt& attempt, const ClassifiedAnswer& classified,
                                    http::Response response) {
  // An upstream that refuses although it has free slots may accept the next attempt, and may be the
  // only one that is warm for the object. So it stays eligible.
  const bool had_free_slots = classified.load && classified.load->running < classified.load->slots;
  if (classified.kind == AnswerKind::kNotRun && had_free_slots) {
    std::erase(placement_request_.tried, attempt.choice.upstream);
  }
  const bool not_run =
      classified.kind == AnswerKind::kNotRun || classified.kind == AnswerKind::kOtherUpstream;
  if (TryAcquireRetry(not_run)) return StartAttempt();
  if (classified.kind == AnswerKind::kServerFailure) {
    // The upstream has run the request, which its status would deny.
    if (StatesNotRun(response.status)) return Fail(kServerFailureReason);
    return Finish(std::move(response), "failed", kServerFailureReason);
  }
  if (not_run) return Refuse("upstream_refused");
  Fail();
}

}  // namespace wagtailpick::relay
