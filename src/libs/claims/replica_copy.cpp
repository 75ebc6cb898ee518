#include "claims/replica_copy.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::claims {

ReplicaCopy::ReplicaCopy(std::size_t replicas, const ReplicaIdentity& identity,
                         std::uint64_t first_copy_id)
    : replicas_(static_cast<ReplicaIndex>(std::min(replicas, kMaxReplicas))),
      identity_(identity),
      next_copy_id_(std::max<std::uint64_t>(first_copy_id, 1)) {
  for (Source& source : sources_) Restart(source);
}

std::optional<CopyRequest> ReplicaCopy::NextRequest(ReplicaIndex source) const {
  if (done_ || source >= replicas_ || source == identity_.index) return std::nullopt;
  if (sources_[source].complete) return std::nullopt;
  return CopyRequest{identity_.index, identity_.incarnation, sources_[source].copy_id,
                     sources_[source].next_page};
}

std::vector<Record> ReplicaCopy::ApplyPage(const CopyPage& page, ClaimStore& store,
                                           WallMillis now) {
  std::vector<Record> to_sync;
  if (done_ || page.source >= replicas_ || page.source == identity_.index) return to_sync;
  if (page.for_incarnation != identity_.incarnation) return to_sync;
  known_.Merge(page.known);
  known_.Raise(page.source, page.source_incarnation);
  RestartOutdated();
  Source& source = sources_[page.source];
  if (page.copy_id != source.copy_id || page.number != source.next_page || source.complete ||
      page.source_incarnation < known_.of(page.source)) {
    return to_sync;
  }
  if (page.restart || (page.number > 0 && page.source_incarnation != source.incarnation)) {
    if (page.number > 0) Restart(source);
    return to_sync;
  }
  const auto keep = [&](Mutation mutation) {
    if (mutation.record) to_sync.push_back(std::move(*mutation.record));
  };
  for (ReplicaIndex replica = 0; replica < kMaxReplicas; ++replica) {
    if (page.known.of(replica) > 0) keep(store.Fence(replica, page.known.of(replica)));
  }
  for (const Record& record : page.records) keep(store.ApplyCopied(record, now));
  source.incarnation = page.source_incarnation;
  source.next_page = page.number + 1;
  source.complete = page.last;
  if (CountCompleteSources() < CopiesNeeded(replicas_)) return to_sync;
  done_ = true;
  keep(store.MarkReady());
  return to_sync;
}

void ReplicaCopy::Restart(Source& source) { source = {next_copy_id_++, 0, 0, false}; }

// A source that has lost its own disk since then may no longer know that votes of this replica's
// earlier incarnation do not count, so its replies may not show it. Its copy must be made again.
void ReplicaCopy::RestartOutdated() {
  for (ReplicaIndex replica = 0; replica < replicas_; ++replica) {
    Source& source = sources_[replica];
    if (source.incarnation != 0 && source.incarnation < known_.of(replica)) Restart(source);
  }
}

std::size_t ReplicaCopy::CountCompleteSources() const {
  return static_cast<std::size_t>(
      std::count_if(sources_.begin(), sources_.end(), [](const Source& s) { return s.complete; }));
}

}  // namespace wagtailpick::claims
