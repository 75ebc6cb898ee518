#include "admission/refusal.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::admission {
namespace {

constexpr std::array<base::EnumName<Refusal>, 12> kRefusalNames{{
    {Refusal::kNone, "none"},
    {Refusal::kUnknownService, "unknown_service"},
    {Refusal::kNotOwned, "not_owned"},
    {Refusal::kNoLease, "no_lease"},
    {Refusal::kDeadlinePassed, "deadline_passed"},
    {Refusal::kDeadlineTooLate, "deadline_too_late"},
    {Refusal::kQuarantine, "quarantine"},
    {Refusal::kDraining, "draining"},
    {Refusal::kSilent, "silent"},
    {Refusal::kEjected, "ejected"},
    {Refusal::kNoFreeSlot, "no_free_slot"},
    {Refusal::kShiftHeadroom, "shift_headroom"},
}};

}  // namespace

std::string_view ToString(Refusal refusal) { return base::NameOf(kRefusalNames, refusal); }

}  // namespace wagtailpick::admission
