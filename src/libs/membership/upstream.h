#pragma once

#include <cstdint>
#include <optional>

#include "membership/announcement.h"
#include "membership/last_seen.h"

namespace wagtailpick::membership {

/// What the newest announcement of an upstream says, and how old it is.
struct Upstream {
  Announcement announcement;
  LastSeen last_seen;
  /// The state that the last emitted change led to.
  UpstreamState state = UpstreamState::kUp;

  /// State at `now`; silence counts even when no tick has reported it yet.
  UpstreamState StateAt(const LocalTime& now) const;

  /// True when the upstream may be sent new work at `now`.
  bool MayGetNewWork(const LocalTime& now) const;

  /// Requests that the upstream says it runs, or nothing once that report has aged out.
  std::optional<std::uint32_t> ReportedLoad(const LocalTime& now) const;
};

}  // namespace wagtailpick::membership
