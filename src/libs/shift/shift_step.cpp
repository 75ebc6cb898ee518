#include "shift/shift_step.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::shift {
namespace {

constexpr std::array kNames = {
    base::EnumName<StepReason>{StepReason::kTooEarly, "too_early"},
    base::EnumName<StepReason>{StepReason::kStepUp, "step_up"},
    base::EnumName<StepReason>{StepReason::kHeldUnmeasured, "held_unmeasured"},
    base::EnumName<StepReason>{StepReason::kHeldNearBound, "held_near_bound"},
    base::EnumName<StepReason>{StepReason::kHeldAfterHalving, "held_after_halving"},
    base::EnumName<StepReason>{StepReason::kHeldNoDemand, "held_no_demand"},
    base::EnumName<StepReason>{StepReason::kHeldAtCap, "held_at_cap"},
    base::EnumName<StepReason>{StepReason::kHalvedSlow, "halved_slow"},
    base::EnumName<StepReason>{StepReason::kHalvedFull, "halved_full"},
    base::EnumName<StepReason>{StepReason::kReset, "reset"},
};

}  // namespace

std::string_view ToString(StepReason reason) { return base::NameOf(kNames, reason); }

}  // namespace wagtailpick::shift
