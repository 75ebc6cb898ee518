#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/result.h"
#include "routing/client_block.h"
#include "routing/range_index.h"

namespace wagtailpick::routing {

/// The block that covers a caller, and its data centre.
struct BlockMatch {
  PlaceId place = 0;
  /// Equal for callers of one block; used to spread callers over entries. Does not change when
  /// other blocks are added or removed, except for blocks nested in this one.
  std::uint64_t block_key = 0;
};

/// Finds the longest client block that covers an address. Immutable once built, so that threads
/// share it without locks.
class BlockTable {
 public:
  BlockTable() = default;

  /// Builds the table. Fails with `kInvalidArgument` if a block is malformed or listed twice.
  static base::Result<BlockTable> Build(std::vector<ClientBlock> blocks);

  /// Returns the match of the longest prefix, or nothing when no block covers `address`.
  std::optional<BlockMatch> Find(const ClientAddress& address) const;

  std::size_t block_count() const { return block_count_; }
  std::size_t memory_bytes() const;

 private:
  struct WideKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    friend auto operator<=>(const WideKey&, const WideKey&) = default;
  };
  friend class BlockFlattener;

  std::size_t block_count_ = 0;
  RangeIndex<std::uint32_t> ipv4_;
  RangeIndex<WideKey> ipv6_;
};

}  // namespace wagtailpick::routing
