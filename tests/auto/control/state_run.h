#pragma once

#include <cstdint>

namespace wagtailpick::control {

struct StateRunTally {
  std::uint64_t events = 0;
  /// Outcomes that differ from those of `NaiveState`.
  std::uint64_t differences = 0;
  /// Commands after which the version in force was lower than before.
  std::uint64_t reverts = 0;
  /// Versions that were accepted with two digests.
  std::uint64_t two_winners = 0;
  /// Bundles that were accepted before but not reported as repeated, or the reverse.
  std::uint64_t accepted_lost = 0;
  /// Grants whose epoch is not above all earlier ones.
  std::uint64_t epoch_reuse = 0;
  /// Upstreams whose owner has no open session.
  std::uint64_t owner_without_session = 0;
  /// Snapshots that do not decode to the same state.
  std::uint64_t snapshot_differences = 0;

  std::uint64_t violations() const {
    return differences + reverts + two_winners + accepted_lost + epoch_reuse +
           owner_without_session + snapshot_differences;
  }
};

/// Applies `commands` random commands, including resends, to a `ControlState` and a `NaiveState`.
StateRunTally RunState(std::uint64_t seed, int commands);

}  // namespace wagtailpick::control
