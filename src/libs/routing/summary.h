#pragma once

#include <cstdint>

#include "base/monotonic_time.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// Names the slots of one service in one place that one entry owns.
struct OwnedPoolKey {
  EntryId entry = 0;
  PlaceId place = 0;
  ServiceId service = 0;

  friend bool operator==(const OwnedPoolKey&, const OwnedPoolKey&) = default;
};

/// What an entry reports about the slots that it owns.
struct Summary {
  OwnedPoolKey key;
  /// Slots that the owner offers now; upstreams in slow start count with their usable slots only.
  std::uint32_t free_slots = 0;
  /// Slots of all upstreams that the owner has for the service in the place.
  std::uint32_t total_slots = 0;
  /// Median time from sending a request to an upstream to its answer; 0 when unknown.
  base::Duration latency{0};
  /// Rises with each summary of the entry. One that isn't newer is ignored.
  std::uint64_t sequence = 0;
};

}  // namespace wagtailpick::routing
