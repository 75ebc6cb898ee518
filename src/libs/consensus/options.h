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

/// Settings of a replica. Times must agree on all replicas of a group.
struct Options {
  /// This replica. The incarnation must be above that of every earlier disk under this name.
  ReplicaKey self;
  /// Names of replicas to ask for admission, besides the members that the log names.
  std::vector<std::string> peers;
  /// Source of randomness for election timeouts.
  std::function<std::uint64_t()> random;

  base::Duration election_timeout_min = std::chrono::milliseconds(1'000);
  base::Duration election_timeout_max = std::chrono::milliseconds(1'400);
  base::Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// No vote is given within this time of hearing a leader or of the start. Must exceed
  /// `leader_lease` by more than the clocks of two VMs can drift apart in that time.
  base::Duration vote_silence = std::chrono::milliseconds(1'000);
  /// Counted from when heartbeats were sent that a quorum has answered.
  base::Duration leader_lease = std::chrono::milliseconds(800);
  /// Time between two requests for admission, and before an unanswered snapshot part is resent.
  base::Duration retry_interval = std::chrono::milliseconds(500);

  /// Largest proposal. Stays under the 16 MiB message limit of the transport.
  std::size_t max_entry_bytes = 15U << 20U;
  /// A message carries entries up to this size, or a single larger one.
  std::size_t max_append_bytes = 256U << 10U;
  std::size_t max_snapshot_chunk_bytes = 1U << 20U;
  /// Unanswered append messages to one follower.
  std::size_t max_inflight_messages = 16;
  /// Proposals beyond this many uncommitted bytes are refused.
  std::size_t max_uncommitted_bytes = 64U << 20U;
  /// Entries kept behind a snapshot, so that a follower that lags a little needs no snapshot.
  std::uint64_t trailing_entries = 1'000;
};

/// Checks ranges and relations of the settings; the error names the setting.
base::Result<void> Validate(const Options& options);

}  // namespace wagtailpick::consensus
