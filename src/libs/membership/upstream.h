#pragma once

#include <cstdint>
#include <optional>

#include "membership/announcement.h"
#include "membership/last_seen.h"

namespace wagtailpick::membership {

/// The newest announcement of an upstream, when it was sent and received, and the resulting state.
struct Upstream {
  Announcement announcement;
  LastSeen last_seen;
  /// State after the last reported change.
  UpstreamState state = UpstreamState::kUp;

  /// Returns the state at `now`, which can be silent or withdrawn before a tick has reported it.
  UpstreamState StateAt(const LocalTime& now) const;

  /// Returns true when the upstream may be sent new work at `now`.
  bool MayGetNewWork(const LocalTime& now) const;

  /// Returns the number of running requests that the upstream announced, or nothing when the
  /// announcement is too old.
  std::optional<std::uint32_t> ReportedLoad(const LocalTime& now) const;
};

}  // namespace wagtailpick::membership
