#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "consensus/entry.h"
#include "consensus/message.h"
#include "consensus/snapshot.h"

namespace wagtailpick::consensus {

/// Term and vote, which must survive a restart so that no replica votes twice in a term.
struct HardState {
  std::uint64_t term = 0;
  /// Empty name: no vote given in `term`.
  ReplicaKey voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// What the driver reads back from its disk before it creates a replica.
struct RecoveredState {
  HardState hard_state;
  /// Absent on a disk that never held one.
  std::optional<Snapshot> snapshot;
  /// Consecutive entries; those that the snapshot covers may still be there.
  std::vector<Entry> entries;
};

/// Records to write in the order of the fields, then sync, then report with `Replica::Synced`.
/// A crash on the way may leave any prefix of that order.
struct SyncBatch {
  /// 0: nothing to write.
  std::uint64_t id = 0;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;
  /// Remove all stored entries, once the snapshot is synced.
  bool drop_log = false;
  /// Entries up to this index may be removed once the snapshot is synced; 0 for none.
  std::uint64_t trim_through = 0;
  /// Stored entries from the first one's index on are removed, then these are appended.
  std::vector<Entry> entries;

  bool empty() const { return id == 0; }
};

/// What the driver has to do after a group of inputs. Every part may be handled at once and in any
/// order: the replica holds back each message and entry that depends on an unsynced record until
/// `Replica::Synced` reports it.
struct Output {
  std::vector<Message> messages;
  SyncBatch sync;
  /// Replaces the applied state; comes before `committed`.
  std::optional<Snapshot> restore;
  /// Entries to apply, consecutive and in order, each of them once.
  std::vector<Entry> committed;
};

}  // namespace wagtailpick::consensus
