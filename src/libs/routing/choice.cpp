#include "routing/choice.h"

#include "base/enum_names.h"

namespace wagtailpick::routing {
namespace {

constexpr std::array kNames = {
    base::EnumName<ChoiceReason>{ChoiceReason::kLowestLatency, "lowest_latency"},
    base::EnumName<ChoiceReason>{ChoiceReason::kMostFree, "most_free"},
    base::EnumName<ChoiceReason>{ChoiceReason::kNextBest, "next_best"},
    base::EnumName<ChoiceReason>{ChoiceReason::kDoubtful, "doubtful"},
    base::EnumName<ChoiceReason>{ChoiceReason::kHomeFull, "home_full"},
    base::EnumName<ChoiceReason>{ChoiceReason::kHomeUnavailable, "home_unavailable"},
    base::EnumName<ChoiceReason>{ChoiceReason::kNoFreeSlot, "no_free_slot"},
    base::EnumName<ChoiceReason>{ChoiceReason::kNoCapShare, "no_cap_share"},
    base::EnumName<ChoiceReason>{ChoiceReason::kNoLinkShare, "no_link_share"},
};

}  // namespace

std::string_view ToString(ChoiceReason reason) { return base::NameOf(kNames, reason); }

}  // namespace wagtailpick::routing
