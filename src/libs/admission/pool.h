#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Identifies a pool: the upstreams of one service in one data centre.
struct PoolKey {
  std::string service;
  /// Data centre.
  std::string place;

  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
};

/// Slots of the upstreams that this entry owns in a pool.
struct SlotCounts {
  std::uint32_t upstreams = 0;
  /// All slots, usable or not.
  std::uint32_t total = 0;
  /// Slots that can be acquired now.
  std::uint32_t free = 0;
  /// Slots held by a request whose outcome is still awaited.
  std::uint32_t busy = 0;
  /// Slots whose request may still run at the upstream although the sender no longer waits for it.
  std::uint32_t in_doubt = 0;
};

/// Reports that no request runs any more at a draining upstream.
struct IdleNotice {
  std::string address;
  PoolKey pool;
  base::MonotonicTime drain_started;
  /// When the last slot was freed, or the drain or the end of the quarantine if that was later.
  base::MonotonicTime idle_since;
};

}  // namespace wagtailpick::admission
