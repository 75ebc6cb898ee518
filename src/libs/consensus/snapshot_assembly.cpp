#include "consensus/snapshot_assembly.h"

#include <memory>
#include <string>
#include <utility>

namespace wagtailpick::consensus {

base::Result<std::optional<Snapshot>> SnapshotAssembly::Add(const ReplicaKey& leader,
                                                            std::uint64_t term,
                                                            const SnapshotChunk& chunk) {
  if (leader_ != leader || term_ != term || index_ != chunk.index) {
    leader_ = leader;
    term_ = term;
    index_ = chunk.index;
    data_.clear();
  }
  if (chunk.offset != data_.size()) return std::optional<Snapshot>();
  auto membership = Membership::Parse(chunk.membership);
  if (!membership) return std::optional<Snapshot>();
  if (chunk.data.size() > max_bytes_ - data_.size()) {
    data_ = {};
    return base::Fail(base::ErrorCode::kLimitExceeded,
                      "the snapshot at index " + std::to_string(chunk.index) + " exceeds " +
                          std::to_string(max_bytes_) + " bytes");
  }
  data_ += chunk.data;
  if (!chunk.last) return std::optional<Snapshot>();
  Snapshot snapshot{chunk.index, chunk.term, std::move(membership).value(),
                    std::make_shared<const std::string>(std::exchange(data_, {}))};
  index_ = 0;
  return std::optional(std::move(snapshot));
}

}  // namespace wagtailpick::consensus
