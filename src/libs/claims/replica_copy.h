#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "claims/claim_store.h"

namespace wagtailpick::claims {

/// Rebuilds the claims of a replica that lost its disk from those of enough others.
///
/// The store accepts no claim until then. Votes of the lost disk that are still on their way don't
/// count any more: every source shows the new incarnation in its replies from the copy on.
class ReplicaCopy {
 public:
  /// `first_copy_id` must be higher than any that the replica has used under this incarnation, for
  /// instance the wall-clock time of the start.
  ReplicaCopy(std::size_t replicas, const ReplicaIdentity& identity, std::uint64_t first_copy_id);

  /// Returns the next request for `source`, or nothing when its copy is complete. Sending it again
  /// after a loss is harmless.
  std::optional<CopyRequest> NextRequest(ReplicaIndex source) const;

  /// Takes in a page that answers the request that is due, and returns the records to sync in this
  /// order. Once enough sources are complete, the last of them makes `store` ready. Other pages are
  /// ignored.
  std::vector<Record> ApplyPage(const CopyPage& page, ClaimStore& store, WallMillis now);

  bool done() const { return done_; }

 private:
  struct Source {
    std::uint64_t copy_id = 0;
    std::uint32_t next_page = 0;
    Incarnation incarnation = 0;
    bool complete = false;
  };

  void Restart(Source& source);
  void DropOutdated();
  std::size_t complete() const;

  ReplicaIndex replicas_;
  ReplicaIdentity identity_;
  std::array<Source, kMaxReplicas> sources_;
  Incarnations known_;
  std::uint64_t next_copy_id_;
  bool done_ = false;
};

}  // namespace wagtailpick::claims
