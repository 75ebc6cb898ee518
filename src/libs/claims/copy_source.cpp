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
  // A replica that is still copying does not know which claims its own lost disk had accepted.
  if (!store.ready() || request.replica >= kMaxReplicas) return outcome;
  if (store.known().of(request.replica) > request.incarnation) return outcome;
  outcome.mutation = store.Fence(request.replica, request.incarnation);
  page.known = store.known();
  Snapshot& snapshot = snapshots_[request.replica];
  const bool is_current =
      snapshot.incarnation == request.incarnation && snapshot.copy_id == request.copy_id;
  // The request for page 0 of the current copy may arrive twice. The list of keys is not taken
  // again, because its order could differ.
  if (!is_current && request.page == 0) StartSnapshot(request, store);
  if (!is_current && request.page != 0) return outcome;
  page.restart = false;
  FillPage(snapshot, store, now, page);
  return outcome;
}

void CopySource::StartSnapshot(const CopyRequest& request, const ClaimStore& store) {
  Snapshot& snapshot = snapshots_[request.replica];
  snapshot = {request.incarnation, request.copy_id, {}, std::nullopt};
  for (const Table table : {Table::kRequests, Table::kTrials}) {
    for (const KeyDigest& key : store.keys(table)) snapshot.keys.push_back({table, key});
  }
}

// The releases are sent after all claims, so that they include the release of a claim that was
// removed before its page was served.
void CopySource::FillPage(Snapshot& snapshot, const ClaimStore& store, WallMillis now,
                          CopyPage& page) const {
  const std::size_t first = page.number * keys_per_page_;
  const std::size_t end = std::min(first + keys_per_page_, snapshot.keys.size());
  for (std::size_t i = first; i < end; ++i) {
    store.AppendRecords(snapshot.keys[i].table, snapshot.keys[i].key, now, page.records);
  }
  if (first + keys_per_page_ <= snapshot.keys.size()) return;
  if (!snapshot.tombstones) store.AppendTombstones(now, snapshot.tombstones.emplace());
  const std::size_t key_pages = snapshot.keys.size() / keys_per_page_ + 1;
  const std::size_t total = snapshot.tombstones->size();
  const std::size_t begin = std::min((page.number + 1 - key_pages) * keys_per_page_, total);
  const std::size_t stop = std::min(begin + keys_per_page_, total);
  const auto from = snapshot.tombstones->begin();
  page.records.insert(page.records.end(), from + static_cast<std::ptrdiff_t>(begin),
                      from + static_cast<std::ptrdiff_t>(stop));
  page.last = stop == total;
}

}  // namespace wagtailpick::claims
