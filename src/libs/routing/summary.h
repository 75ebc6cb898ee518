#pragma once

#include <cstdint>

#include "base/monotonic_time.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// Identifies the slots of one service in one data centre that one entry owns.
struct OwnedPoolKey {
  EntryId entry = 0;
  PlaceId place = 0;
  ServiceId service = 0;

  friend bool operator==(const OwnedPoolKey&, const OwnedPoolKey&) = default;
};

/// Report of an entry about one pool of slots that it owns.
struct Summary {
  OwnedPoolKey key;
  /// Slots that can be used now; of an upstream in slow start, only its usable ones are counted.
  std::uint32_t free_slots = 0;
  /// Slots of all upstreams in the pool.
  std::uint32_t total_slots = 0;
  /// Median time from sending a request to an upstream to its answer; 0 if unknown.
  base::Duration latency{0};
  /// Increases with each summary of the entry. Summaries that are not newer are ignored.
  std::uint64_t sequence = 0;
};

}  // namespace wagtailpick::routing
