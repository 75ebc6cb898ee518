#include "relay/drain_policy.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::relay {
namespace {

constexpr std::array<base::EnumName<DrainDecision>, 5> kDecisionNames{{
    {DrainDecision::kEndsBeforeStop, "ends_before_stop"},
    {DrainDecision::kExpectedBeforeStop, "expected_before_stop"},
    {DrainDecision::kTooLate, "too_late"},
    {DrainDecision::kTooLong, "too_long"},
    {DrainDecision::kNotRepeatable, "not_repeatable"},
}};

/// Until this time after the signal, the expected time of a request decides if its deadline comes
/// too late. Requests sent later than 3 s after the signal must never be cut; the difference covers
/// the delay until a busy process handles the signal.
constexpr base::Duration kRelyOnExpectedUntil = std::chrono::milliseconds(2'500);
/// An attempt has to fit in the remaining time with its expected time multiplied by this
/// percentage, as it may take longer than expected.
constexpr int kExpectedPercent = 150;

}  // namespace

std::string_view ToString(DrainDecision decision) { return base::NameOf(kDecisionNames, decision); }

DrainDecision DecideWhileDraining(base::Duration since_signal, base::Duration grace,
                                  const AttemptOutlook& attempt) {
  const auto until_stop = grace - kDrainEndMargin - since_signal;
  if (attempt.time_left <= until_stop) return DrainDecision::kEndsBeforeStop;
  if (!attempt.idempotent) return DrainDecision::kNotRepeatable;
  if (since_signal > kRelyOnExpectedUntil) return DrainDecision::kTooLate;
  const bool fits = attempt.expected * kExpectedPercent / 100 <= until_stop;
  return fits ? DrainDecision::kExpectedBeforeStop : DrainDecision::kTooLong;
}

}  // namespace wagtailpick::relay
