#pragma once

#include <optional>
#include <string_view>

namespace wagtailpick::membership {

/// What an upstream says about itself.
enum class AnnouncedState { kUp, kDraining, kLeaving };

/// Returns the state's name in announcements.
std::string_view ToString(AnnouncedState state);

/// Parses a name made by `ToString`; returns nothing for any other text.
std::optional<AnnouncedState> ParseAnnouncedState(std::string_view name);

/// What the registry holds about an upstream.
enum class UpstreamState {
  kUp,
  /// Finishes running requests and may come back.
  kDraining,
  /// Finishes running requests before it stops.
  kLeaving,
  /// Unplanned: no announcement within the silence bound.
  kSilent,
  /// Planned: it was leaving and then stopped announcing itself.
  kWithdrawn,
};

/// Returns the state's name in logs and in `/v1/state`.
std::string_view ToString(UpstreamState state);

}  // namespace wagtailpick::membership
