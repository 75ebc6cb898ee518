#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "routing/ids.h"
#include "routing/topology.h"

namespace wagtailpick::routing {

/// An entry as control reports it with the session renewal.
struct EntryStatus {
  EntryId id = 0;
  PlaceId place = 0;
  /// False once it drains or its session ended.
  bool serving = true;
};

/// Ranks the entries that a lookup answer lists. The work of a lookup grows with the places of two
/// regions and the entries of three places, not with all entries.
class LookupRanker {
 public:
  explicit LookupRanker(std::shared_ptr<const Topology> topology);

  /// Replaces the known entries; those that don't serve are left out.
  void SetEntries(std::span<const EntryStatus> entries);

  /// Returns up to three entries in order of preference: the nearest to `home`, the nearest of
  /// another data centre, and one of another region where there is one (else one of a third data
  /// centre, else another one of a listed data centre). Callers of different blocks
  /// (`block_key`) get different entries of a place, those of one block always the same.
  std::vector<EntryId> Rank(PlaceId home, std::uint64_t block_key) const;

  static constexpr std::size_t kMaxListed = 3;

 private:
  PlaceId NearestPlace(PlaceId home, std::uint64_t block_key, std::span<const PlaceId> excluded,
                       bool other_region_first) const;
  PlaceId PickPlace(RegionId region, std::uint64_t block_key,
                    std::span<const PlaceId> excluded) const;
  EntryId PickEntry(PlaceId place, std::uint64_t block_key) const;

  std::shared_ptr<const Topology> topology_;
  // Serving entries of each place.
  std::vector<std::vector<EntryId>> entries_;
};

}  // namespace wagtailpick::routing
