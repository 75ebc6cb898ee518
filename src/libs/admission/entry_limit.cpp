#include "admission/entry_limit.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::admission {
namespace {

constexpr std::uint64_t kSharedPercent = 80;

constexpr std::array<base::EnumName<EntryDecision>, 3> kDecisionNames{{
    {EntryDecision::kAdmitted, "admitted"},
    {EntryDecision::kFull, "full"},
    {EntryDecision::kReserved, "reserved"},
}};

}  // namespace

std::string_view ToString(EntryDecision decision) { return base::NameOf(kDecisionNames, decision); }

EntryDecision EntryLimit::TryAdmit(int priority) {
  if (running_ >= limit_) return EntryDecision::kFull;
  const bool above_shared = (std::uint64_t{running_} + 1) * 100 > limit_ * kSharedPercent;
  if (above_shared && priority < highest_priority_) return EntryDecision::kReserved;
  ++running_;
  return EntryDecision::kAdmitted;
}

bool EntryLimit::Release() {
  if (running_ == 0) return false;
  --running_;
  return true;
}

}  // namespace wagtailpick::admission
