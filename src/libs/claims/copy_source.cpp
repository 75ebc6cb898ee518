#include "claims/copy_source.h"

#include <algorithm>

namespace wagtailpick::claims {

CopyOutcome CopySource::Handle(const CopyRequest& request, ClaimStore& store, WallMillis now) {
  CopyOutcome outcome;
  CopyPage& page = outcome.page;
  page.source = store.identity().index;
  page.source_incarnation = store.identity().incarnation;
  page.for_incarnation = request.incarnation;
  page.copy_id = request.copy_id;
  page.number = request.page;
  page.known = store.known();
  page.restart = true;
  // A replica that is itself still copying doesn't know what its own lost disk had promised.
  if (!store.ready() || request.replica >= kMaxReplicas) return outcome;
  if (store.known().of(request.replica) > request.incarnation) return outcome;
  outcome.mutation = store.Fence(request.replica, request.incarnation);
  page.known = store.known();
  Snapshot& snapshot = snapshots_[request.replica];
  const bool is_current =
      snapshot.incarnation == request.incarnation && snapshot.copy_id == request.copy_id;
  // Page 0 of the running copy may arrive twice; a second list of keys could have another order.
  if (!is_current && request.page == 0) Begin(request, store, now);
  if (!is_current && request.page != 0) return outcome;
  page.restart = false;
  Fill(snapshot, store, now, page);
  return outcome;
}

void CopySource::Begin(const CopyRequest& request, const ClaimStore& store, WallMillis now) {
  Snapshot& snapshot = snapshots_[request.replica];
  snapshot = {request.incarnation, request.copy_id, {}, {}};
  for (const Table table : {Table::kRequests, Table::kTrials}) {
    for (const KeyDigest& key : store.keys(table)) snapshot.keys.push_back({table, key});
  }
  store.AppendTombstones(now, snapshot.tombstones);
}

void CopySource::Fill(const Snapshot& snapshot, const ClaimStore& store, WallMillis now,
                      CopyPage& page) const {
  // Tombstones go first, so that the copy doesn't take in claims that other sources have freed.
  const std::size_t tombstones = snapshot.tombstones.size();
  const std::size_t total = tombstones + snapshot.keys.size();
  const std::size_t first = std::min(page.number * keys_per_page_, total);
  const std::size_t end = std::min(first + keys_per_page_, total);
  for (std::size_t i = first; i < end; ++i) {
    if (i < tombstones) {
      page.records.push_back(snapshot.tombstones[i]);
      continue;
    }
    const TableKey& key = snapshot.keys[i - tombstones];
    store.AppendRecords(key.table, key.key, now, page.records);
  }
  page.last = end == total;
}

}  // namespace wagtailpick::claims
