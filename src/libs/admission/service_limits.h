#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// Limits that the bundle sets for a service.
struct ServiceLimits {
  /// Maximum number of slots used per upstream, even if it announces more.
  std::uint32_t max_slots = 1;
  /// Maximum time until the deadline of a request that asks for a slot.
  std::int64_t request_deadline_ms = 1'000;
  /// Longest `request_deadline_ms` of the last 64 bundle versions. A quarantine lasts this long,
  /// because an earlier owner may have sent requests under any of these versions.
  std::int64_t longest_deadline_ms = 1'000;
  /// Percentage of a pool's slots that shifted requests must leave free.
  std::uint32_t shift_headroom_percent = 20;
};

}  // namespace wagtailpick::admission
