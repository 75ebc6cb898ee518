#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::storage {

/// One entry of the consensus log. `kind` and `data` are opaque to the store.
struct LogEntry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint32_t kind = 0;
  std::string data;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Index and term of a position in the log.
struct LogPosition {
  std::uint64_t index = 0;
  std::uint64_t term = 0;

  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

/// The consensus state of a replica, besides the log, that must survive a restart.
struct HardState {
  std::uint64_t term = 0;
  /// Replica that got this replica's vote in `term`; empty when none did.
  std::string voted_for;
  /// Incarnation of this replica.
  std::uint64_t incarnation = 0;

  friend bool operator==(const HardState&, const HardState&) = default;
};

}  // namespace wagtailpick::storage
