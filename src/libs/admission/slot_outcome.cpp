#include "admission/slot_outcome.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::admission {
namespace {

constexpr std::array<base::EnumName<SlotOutcome>, 8> kOutcomeNames{{
    {SlotOutcome::kAnswered, "answered"},
    {SlotOutcome::kErrorAnswer, "error_answer"},
    {SlotOutcome::kShed, "shed"},
    {SlotOutcome::kNotSent, "not_sent"},
    {SlotOutcome::kConnectRefused, "connect_refused"},
    {SlotOutcome::kTimedOut, "timed_out"},
    {SlotOutcome::kCancelled, "cancelled"},
    {SlotOutcome::kLost, "lost"},
}};

}  // namespace

std::string_view ToString(SlotOutcome outcome) { return base::NameOf(kOutcomeNames, outcome); }

bool LeavesSlotInDoubt(SlotOutcome outcome) {
  return outcome == SlotOutcome::kTimedOut || outcome == SlotOutcome::kCancelled ||
         outcome == SlotOutcome::kLost;
}

bool IsUpstreamError(SlotOutcome outcome) {
  return outcome == SlotOutcome::kErrorAnswer || outcome == SlotOutcome::kConnectRefused ||
         outcome == SlotOutcome::kTimedOut || outcome == SlotOutcome::kLost;
}

}  // namespace wagtailpick::admission
