#include "consensus/snapshot_assembly.h"

#include <memory>
#include <utility>

namespace wagtailpick::consensus {

std::optional<Snapshot> SnapshotAssembly::Add(const ReplicaKey& leader, std::uint64_t term,
                                              const SnapshotChunk& chunk) {
  if (leader_ != leader || term_ != term || index_ != chunk.index) {
    leader_ = leader;
    term_ = term;
    index_ = chunk.index;
    data_.clear();
  }
  if (chunk.offset != data_.size()) return std::nullopt;
  auto membership = Membership::Parse(chunk.membership);
  if (!membership) return std::nullopt;
  data_ += chunk.data;
  if (!chunk.last) return std::nullopt;
  Snapshot snapshot{chunk.index, chunk.term, std::move(membership).value(),
                    std::make_shared<const std::string>(std::exchange(data_, {}))};
  index_ = 0;
  return snapshot;
}

}  // namespace wagtailpick::consensus
