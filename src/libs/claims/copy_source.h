#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "claims/claim_store.h"

namespace wagtailpick::claims {

/// Result of `CopySource::Handle`.
struct CopyOutcome {
  CopyPage page;
  /// Contains the record to sync, and how many of the store's records must be synced before the
  /// page is sent.
  Mutation mutation;
};

/// Serves the claims of this replica to replicas that lost their disk.
///
/// The first request of a copy does two things in one step: it fences off the earlier incarnations
/// of the requesting replica, and it takes the list of keys to copy. Therefore a claim that this
/// replica accepted before is in the copy, and the reply to a claim that it accepts afterwards
/// shows that votes of the lost disk no longer count.
class CopySource {
 public:
  explicit CopySource(std::size_t keys_per_page) : keys_per_page_(keys_per_page) {}

  /// Returns the requested page, or one with `restart` set if this replica cannot serve the copy.
  /// The caller fills in the stored answers of the records, by their position.
  CopyOutcome Handle(const CopyRequest& request, ClaimStore& store, WallMillis now);

 private:
  struct TableKey {
    Table table;
    KeyDigest key;
  };

  /// State of the copy to one replica.
  struct Snapshot {
    Incarnation incarnation = 0;
    std::uint64_t copy_id = 0;
    std::vector<TableKey> keys;
    /// Set when the pages of all keys were served.
    std::optional<std::vector<Record>> tombstones;
  };

  void StartSnapshot(const CopyRequest& request, const ClaimStore& store);
  void FillPage(Snapshot& snapshot, const ClaimStore& store, WallMillis now, CopyPage& page) const;

  std::size_t keys_per_page_;
  std::array<Snapshot, kMaxReplicas> snapshots_;
};

}  // namespace wagtailpick::claims
