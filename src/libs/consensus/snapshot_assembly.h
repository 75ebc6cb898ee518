#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "consensus/message.h"
#include "consensus/replica_key.h"
#include "consensus/snapshot.h"

namespace wagtailpick::consensus {

/// Assembles the parts of a snapshot received from a leader.
class SnapshotAssembly {
 public:
  explicit SnapshotAssembly(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds a part that `leader` sent in `term`; repeated and out-of-order parts are ignored. Returns
  /// the snapshot after its last part. Parts from another leader or term start over, as two
  /// replicas may encode the same state differently. Fails with `kLimitExceeded`, and frees the
  /// parts, if the snapshot is larger than the limit.
  base::Result<std::optional<Snapshot>> Add(const ReplicaKey& leader, std::uint64_t term,
                                            const SnapshotChunk& chunk);

  /// Bytes received of the snapshot at `index`.
  std::uint64_t offset(std::uint64_t index) const { return index == index_ ? data_.size() : 0; }

 private:
  std::size_t max_bytes_;
  ReplicaKey leader_;
  std::uint64_t term_ = 0;
  std::uint64_t index_ = 0;
  std::string data_;
};

}  // namespace wagtailpick::consensus
