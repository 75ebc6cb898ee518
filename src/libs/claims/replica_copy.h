#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "claims/claim_store.h"

namespace wagtailpick::claims {

/// Rebuilds the claims of a replica that lost its disk by copying those of other replicas.
///
/// The store accepts no claims until the copy is complete. Votes of the lost disk that are still in
/// flight no longer count, because the replies of each source contain the new incarnation from the
/// start of the copy.
class ReplicaCopy {
 public:
  /// `first_copy_id` must be higher than all copy ids that the replica has used under this
  /// incarnation, for example the wall-clock time of the start in milliseconds.
  ReplicaCopy(std::size_t replicas, const ReplicaIdentity& identity, std::uint64_t first_copy_id);

  /// Returns the next request to send to `source`, or nothing when its copy is complete. The same
  /// request may be sent again.
  std::optional<CopyRequest> NextRequest(ReplicaIndex source) const;

  /// Applies a page and returns the records to sync, in this order. A page that is not the reply to
  /// the next request of its source is ignored. When enough sources are complete, `store` is marked
  /// ready.
  std::vector<Record> ApplyPage(const CopyPage& page, ClaimStore& store, WallMillis now);

  /// True when `store` was marked ready.
  bool done() const { return done_; }

 private:
  /// Progress of the copy from one replica.
  struct Source {
    std::uint64_t copy_id = 0;
    std::uint32_t next_page = 0;
    /// Incarnation of the source under which the copy was made; 0 before the first page.
    Incarnation incarnation = 0;
    bool complete = false;
  };

  void Restart(Source& source);
  /// Restarts the copies that were made from an earlier incarnation of their source.
  void RestartOutdated();
  std::size_t CountCompleteSources() const;

  ReplicaIndex replicas_;
  ReplicaIdentity identity_;
  std::array<Source, kMaxReplicas> sources_;
  Incarnations known_;
  std::uint64_t next_copy_id_;
  bool done_ = false;
};

}  // namespace wagtailpick::claims
