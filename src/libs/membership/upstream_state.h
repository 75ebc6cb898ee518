#pragma once

#include <optional>
#include <string_view>

namespace wagtailpick::membership {

/// State that an upstream announces.
enum class AnnouncedState { kUp, kDraining, kLeaving };

/// Returns the state's name in announcements.
std::string_view ToString(AnnouncedState state);

/// Parses a name made by `ToString`; returns nothing for any other text.
std::optional<AnnouncedState> ParseAnnouncedState(std::string_view name);

/// State of an upstream in the registry.
enum class UpstreamState {
  kUp,
  /// Finishes running requests and may become `kUp` again.
  kDraining,
  /// Finishes running requests before it stops.
  kLeaving,
  /// Its announcements stopped without notice.
  kSilent,
  /// Its announcements stopped after it was leaving, as planned.
  kWithdrawn,
};

/// Returns the state's name in logs and in `/v1/state`.
std::string_view ToString(UpstreamState state);

}  // namespace wagtailpick::membership
