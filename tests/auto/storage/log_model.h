#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "storage/log_store.h"

namespace wagtailpick::storage {

/// A reference model of `LogStore` in memory.
struct LogModel {
  std::vector<LogEntry> entries;
  LogPosition trimmed;
  HardState hard_state;

  std::uint64_t last_index() const { return trimmed.index + entries.size(); }

  friend bool operator==(const LogModel&, const LogModel&) = default;
};

/// Runs random operations on a store and a model side by side.
class LogWorkload {
 public:
  explicit LogWorkload(std::uint64_t seed) : random_(seed) {}

  /// Runs one operation; fails when the store fails.
  base::Result<void> Step(LogStore& store);

  /// Whether `model` is a state that may be found after a crash: the last synced or a later
  /// one.
  bool IsPossibleAfterCrash(const LogModel& model) const;

  /// Continues from a recovered state.
  void Resume(LogModel model) { history_ = {std::move(model)}; }

 private:
  base::Result<void> Append(LogStore& store);
  base::Result<void> Truncate(LogStore& store);
  base::Result<void> Trim(LogStore& store);

  std::mt19937_64 random_;
  std::uint64_t term_ = 1;
  // The last synced state and the state after each later change.
  std::vector<LogModel> history_ = {{}};
};

/// Reads the whole store.
base::Result<LogModel> ReadModel(LogStore& store);

}  // namespace wagtailpick::storage
