#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "claims/claim_store.h"

namespace wagtailpick::claims {

struct CopyOutcome {
  CopyPage page;
  /// The page may be sent once this many of the store's records are synced.
  Mutation mutation;
};

/// Serves this replica's claims to replicas that lost their disk.
///
/// The first request of a copy fences off the older incarnations of the asking replica and fixes
/// the list of keys to copy in one step. So of two claims at this replica, the earlier is in the
/// copy, and the reply to the later shows that votes of the lost disk no longer count.
class CopySource {
 public:
  explicit CopySource(std::size_t keys_per_page) : keys_per_page_(keys_per_page) {}

  /// Returns the page asked for. The driver fills in the answers of its records, by position.
  CopyOutcome Handle(const CopyRequest& request, ClaimStore& store, WallMillis now);

 private:
  struct TableKey {
    Table table;
    KeyDigest key;
  };

  struct Snapshot {
    Incarnation incarnation = 0;
    std::uint64_t copy_id = 0;
    std::vector<TableKey> keys;
    /// Taken when all keys have been read.
    std::optional<std::vector<Record>> tombstones;
  };

  void Begin(const CopyRequest& request, const ClaimStore& store);
  void Fill(Snapshot& snapshot, const ClaimStore& store, WallMillis now, CopyPage& page) const;

  std::size_t keys_per_page_;
  std::array<Snapshot, kMaxReplicas> snapshots_;
};

}  // namespace wagtailpick::claims
