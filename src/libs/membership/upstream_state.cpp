#include "membership/upstream_state.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::membership {
namespace {

constexpr std::array<base::EnumName<AnnouncedState>, 3> kAnnouncedNames{{
    {AnnouncedState::kUp, "up"},
    {AnnouncedState::kDraining, "draining"},
    {AnnouncedState::kLeaving, "leaving"},
}};

constexpr std::array<base::EnumName<UpstreamState>, 5> kStateNames{{
    {UpstreamState::kUp, "up"},
    {UpstreamState::kDraining, "draining"},
    {UpstreamState::kLeaving, "leaving"},
    {UpstreamState::kSilent, "silent"},
    {UpstreamState::kWithdrawn, "withdrawn"},
}};

}  // namespace

std::string_view ToString(AnnouncedState state) { return base::NameOf(kAnnouncedNames, state); }

std::optional<AnnouncedState> ParseAnnouncedState(std::string_view name) {
  return base::ValueOf(kAnnouncedNames, name);
}

std::string_view ToString(UpstreamState state) { return base::NameOf(kStateNames, state); }

}  // namespace wagtailpick::membership
