#pragma once

#include <cstdint>
#include <deque>
#include <random>

#include "consensus/output.h"

namespace wagtailpick::consensus::simulation {

/// A disk that keeps written batches apart from synced ones. A crash keeps only a prefix of the
/// former.
class FakeDisk {
 public:
  FakeDisk() = default;
  explicit FakeDisk(RecoveredState state) : state_(std::move(state)) {}

  void Write(SyncBatch batch) { written_.push_back(std::move(batch)); }
  /// Makes all batches up to `id` durable.
  void Sync(std::uint64_t id);
  /// Keeps a random prefix of the unsynced records and drops the rest.
  void Crash(std::mt19937_64& random);

  RecoveredState& state() { return state_; }

 private:
  /// Applies the first `records` records of `batch`; returns whether these were all.
  bool Apply(const SyncBatch& batch, std::size_t records);

  RecoveredState state_;
  std::deque<SyncBatch> written_;
};

}  // namespace wagtailpick::consensus::simulation
