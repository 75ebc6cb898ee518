#include "membership/upstream.h"

namespace wagtailpick::membership {

UpstreamState Upstream::StateAt(const LocalTime& now) const {
  const AnnouncedState announced = announcement.state();
  if (!last_seen.IsFresh(now)) {
    return announced == AnnouncedState::kLeaving ? UpstreamState::kWithdrawn
                                                 : UpstreamState::kSilent;
  }
  switch (announced) {
    case AnnouncedState::kDraining:
      return UpstreamState::kDraining;
    case AnnouncedState::kLeaving:
      return UpstreamState::kLeaving;
    case AnnouncedState::kUp:
      break;
  }
  return UpstreamState::kUp;
}

bool Upstream::MayGetNewWork(const LocalTime& now) const {
  return StateAt(now) == UpstreamState::kUp;
}

std::optional<std::uint32_t> Upstream::ReportedLoad(const LocalTime& now) const {
  if (!last_seen.IsFresh(now)) return std::nullopt;
  return announcement.load();
}

}  // namespace wagtailpick::membership
