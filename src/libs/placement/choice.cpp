#include "placement/choice.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::placement {
namespace {

constexpr std::array<base::EnumName<Refusal>, 6> kRefusalNames{{
    {Refusal::kNone, "none"},
    {Refusal::kNoUpstream, "no_upstream"},
    {Refusal::kNoCapacity, "no_room"},
    {Refusal::kColdLimit, "cold_limit"},
    {Refusal::kBackingOff, "unwanted"},
    {Refusal::kRateLimited, "rate_limited"},
}};

}  // namespace

std::string_view ToString(Refusal refusal) { return base::NameOf(kRefusalNames, refusal); }

}  // namespace wagtailpick::placement
