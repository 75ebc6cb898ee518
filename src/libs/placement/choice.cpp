#include "placement/choice.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::placement {
namespace {

constexpr std::array<base::EnumName<Refusal>, 5> kRefusalNames{{
    {Refusal::kNone, "none"},
    {Refusal::kNoUpstream, "no_upstream"},
    {Refusal::kNoCapacity, "no_room"},
    {Refusal::kColdLimit, "cold_limit"},
    {Refusal::kBackingOff, "unwanted"},
}};

}  // namespace

std::string_view ToString(Refusal refusal) { return base::NameOf(kRefusalNames, refusal); }

}  // namespace wagtailpick::placement
