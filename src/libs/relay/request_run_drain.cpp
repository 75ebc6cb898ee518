#include <algorithm>

#include "relay/request_run.h"

// The part of RequestRun that handles the drain of the entry.

namespace wagtailpick::relay {
namespace {

/// Reasons, in logs and metrics, of requests that end because the entry drains: before they run,
/// and while an attempt runs.
constexpr std::string_view kStoppingReason = "stopping";
constexpr std::string_view kGraceTimeOverReason = "grace_time_over";
/// Other entries can serve a refused request at once.
constexpr base::Duration kRetryAfterStopping = std::chrono::milliseconds(100);

}  // namespace

bool RequestRun::MayStartWhileDraining(const placement::Choice& choice) {
  if (!relay_.drain_) return true;
  const auto now = base::MonotonicNow();
  const auto& drain = *relay_.drain_;
  drain_decision_ = DecideWhileDraining(
      now - drain.signalled_at, drain.grace,
      {deadline_ - now, choice.expected_total, placement_request_.route->idempotent});
  return IsStarted(*drain_decision_);
}

void RequestRun::AddDrainFields(std::vector<logging::Field>& fields) const {
  if (!relay_.drain_) return;
  const auto since = base::MonotonicNow() - relay_.drain_->signalled_at;
  fields.push_back({"draining_ms", FormatMillis(since)});
  if (!drain_decision_) return;
  fields.push_back({"drain_decision", std::string(ToString(*drain_decision_))});
}

bool RequestRun::EndBeforeExit() {
  if (finished_) return false;
  if (!RefuseUnsent()) Fail(kGraceTimeOverReason);
  return true;
}

bool RequestRun::RefuseUnsent() {
  if (finished_ || MayHaveRun()) return false;
  EndAllAttempts("not_sent");
  RefuseStopping();
  return true;
}

bool RequestRun::MayHaveRun() const {
  return may_have_run_ || std::any_of(attempts_.begin(), attempts_.end(),
                                      [](const auto& attempt) { return attempt->sent; });
}

void RequestRun::RefuseStopping() { Refuse(kStoppingReason, kRetryAfterStopping); }

}  // namespace wagtailpick::relay
