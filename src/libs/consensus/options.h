#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "consensus/replica_key.h"

namespace wagtailpick::consensus {

/// Settings of a replica. All replicas of a group must use the same times.
struct Options {
  /// This replica. Its incarnation must exceed that of every earlier disk under this name.
  ReplicaKey self;
  /// Names of replicas to send join requests to, besides the members in the log.
  std::vector<std::string> peers;
  /// Source of randomness for election timeouts.
  std::function<std::uint64_t()> random;
  /// Returns an error if the owner can't read the data of a snapshot from a leader. Such a snapshot
  /// stops the replica before it replaces the state on disk. Null accepts all.
  std::function<base::Result<void>(const std::string& data)> check_snapshot;

  base::Duration election_timeout_min = std::chrono::milliseconds(1'000);
  base::Duration election_timeout_max = std::chrono::milliseconds(1'400);
  base::Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// A replica grants no vote within this time after a leader's last message or its own start.
  /// Must exceed `leader_lease` by more than the clocks of two VMs can drift apart in that time.
  base::Duration vote_silence = std::chrono::milliseconds(1'000);
  /// Length of the lease, counted from when the newest message answered by a quorum was sent.
  base::Duration leader_lease = std::chrono::milliseconds(800);
  /// Time between two join requests, and until an unanswered snapshot part is resent.
  base::Duration retry_interval = std::chrono::milliseconds(500);

  /// Largest proposal. Stays below the transport's limit of 16 MiB for a message.
  std::size_t max_entry_bytes = 15U << 20U;
  /// Most bytes of entries in one message; a larger entry is sent alone.
  std::size_t max_append_bytes = 256U << 10U;
  std::size_t max_snapshot_chunk_bytes = 1U << 20U;
  /// Largest snapshot that is accepted from a leader. Twice the largest catalog, which the snapshot
  /// of the orders holds.
  std::size_t max_snapshot_bytes = 128U << 20U;
  /// Most unanswered append messages to one follower.
  std::size_t max_inflight_messages = 16;
  /// Proposals beyond this many uncommitted bytes are refused.
  std::size_t max_uncommitted_bytes = 64U << 20U;
  /// Entries kept in the log before a snapshot's index, so that a follower that lags by fewer
  /// entries needs no snapshot.
  std::uint64_t trailing_entries = 1'000;
};

/// Checks the settings and their relations. Fails with `kInvalidArgument` and the setting's name.
base::Result<void> Validate(const Options& options);

}  // namespace wagtailpick::consensus
