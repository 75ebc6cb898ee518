#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::storage {

/// One entry of the consensus log; `kind` and `data` mean nothing to the store.
struct LogEntry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint32_t kind = 0;
  std::string data;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Index and term of one place in the log.
struct LogPosition {
  std::uint64_t index = 0;
  std::uint64_t term = 0;

  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

/// What a replica must not forget between elections.
struct HardState {
  std::uint64_t term = 0;
  /// Replica that got this replica's vote in `term`; empty when there was none.
  std::string voted_for;
  std::uint64_t incarnation = 0;

  friend bool operator==(const HardState&, const HardState&) = default;
};

}  // namespace wagtailpick::storage
