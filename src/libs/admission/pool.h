#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// The upstreams of one service in one data centre.
struct PoolKey {
  std::string service;
  std::string place;

  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
};

/// Slots of the upstreams that this entry owns in a pool.
struct SlotCounts {
  std::uint32_t upstreams = 0;
  /// All slots, usable or not.
  std::uint32_t total = 0;
  /// Slots that `Acquire` would give now.
  std::uint32_t free = 0;
  /// Slots whose request runs.
  std::uint32_t busy = 0;
  /// Slots whose request may run although its sender has given up.
  std::uint32_t in_doubt = 0;
};

/// What other entries report about a pool. Without it only this entry's own upstreams count.
struct RemotePoolStats {
  /// Upstreams of all other owners.
  std::uint32_t upstreams = 0;
  std::uint32_t ejected = 0;
  /// Median latency of warm upstreams elsewhere; 0 when unknown.
  base::Duration warm_median{};
};

/// A draining upstream runs nothing any more.
struct IdleNotice {
  std::string address;
  PoolKey pool;
  base::MonotonicTime drain_started;
  base::MonotonicTime idle_since;
};

}  // namespace wagtailpick::admission
