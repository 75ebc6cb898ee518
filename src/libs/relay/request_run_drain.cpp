#include "relay/request_run.h"

// The part of RequestRun that handles the drain of the entry.

namespace wagtailpick::relay {

using logging::Level;

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
  fields.push_back({"draining_ms", std::to_string(since.count() / 1'000)});
  if (!drain_decision_) return;
  fields.push_back({"drain_decision", std::string(ToString(*drain_decision_))});
}

void RequestRun::LogCut() {
  if (finished_) return;
  const auto total = base::MonotonicNow() - inbound_->received_at;
  std::vector<logging::Field> fields{
      {"reason", "grace_time_over"},
      {"upstream", choice_.upstream},
      {"sends", std::to_string(sends_)},
      {"total_ms", std::to_string(total.count() / 1'000)},
      {"expected_ms", std::to_string(choice_.expected_total.count() / 1'000)}};
  AddDrainFields(fields);
  Log(Level::kWarning, "request_ended", "cut", std::move(fields));
}

}  // namespace wagtailpick::relay
