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
  /// The replica that got the vote in `term`; an empty name when none did.
  ReplicaKey voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// What the driver reads back from its disk before it creates a replica.
struct RecoveredState {
  HardState hard_state;
  /// Absent when the disk has none.
  std::optional<Snapshot> snapshot;
  /// Consecutive entries. They may include some that the snapshot covers.
  std::vector<Entry> entries;
};

/// Records for the disk. The driver writes them in the order of the fields, syncs, and then calls
/// `Replica::Synced`. After a crash the disk may hold any prefix of that order.
struct SyncBatch {
  /// Ids rise from 1; 0 marks an empty batch.
  std::uint64_t id = 0;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;
  /// Remove all stored entries, once the snapshot is synced.
  bool drop_log = false;
  /// Entries up to this index may be removed once the snapshot is synced; 0 for none.
  std::uint64_t trim_through = 0;
  /// Replaces the stored entries from the first one's index on.
  std::vector<Entry> entries;

  bool empty() const { return id == 0; }
};

/// What the driver has to do after a group of inputs. The parts may be handled immediately and in
/// any order, as the replica holds back each message and entry that depends on an unsynced record
/// until `Replica::Synced` reports it.
struct Output {
  std::vector<Message> messages;
  SyncBatch sync;
  /// Replaces the applied state; to be applied before `committed`.
  std::optional<Snapshot> restore;
  /// Consecutive entries to apply in order. Each entry is returned only once.
  std::vector<Entry> committed;
};

}  // namespace wagtailpick::consensus
