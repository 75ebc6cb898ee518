#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "routing/ids.h"
#include "routing/topology.h"

namespace wagtailpick::routing {

/// An entry as reported by control with a session renewal.
struct EntryStatus {
  EntryId id = 0;
  PlaceId place = 0;
  /// False if it is draining or its session has ended.
  bool serving = true;
};

/// Ranks the entries that a lookup answer lists. The cost of a lookup depends on the number of data
/// centres in two regions and of entries in three data centres, not on the total number of entries.
class LookupRanker {
 public:
  explicit LookupRanker(std::shared_ptr<const Topology> topology);

  /// Replaces the known entries by the serving ones among `entries`.
  void SetEntries(std::span<const EntryStatus> entries);

  /// Returns up to three entries in order of preference: the nearest to `home`, the nearest in
  /// another data centre, and one in another region (if there is none, one in a third data centre
  /// or another one in a listed data centre). `block_key` selects among the entries of a data
  /// centre: callers of one block always get the same entry, the blocks are spread over all.
  std::vector<EntryId> Rank(PlaceId home, std::uint64_t block_key) const;

  static constexpr std::size_t kMaxListed = 3;

 private:
  // The functions below that return a data centre only consider data centres with serving entries;
  // they return an invalid ID if there is none.
  PlaceId NearestPlace(PlaceId home, std::uint64_t block_key, std::span<const PlaceId> excluded,
                       bool other_region_first) const;
  PlaceId PickPlace(RegionId region, std::uint64_t block_key,
                    std::span<const PlaceId> excluded) const;
  EntryId PickEntry(PlaceId place, std::uint64_t block_key) const;

  std::shared_ptr<const Topology> topology_;
  // Serving entries of each data centre.
  std::vector<std::vector<EntryId>> entries_;
};

}  // namespace wagtailpick::routing
