#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// What the bundle says about a service.
struct ServiceLimits {
  /// Slots used per upstream, however many it announces.
  std::uint32_t max_slots = 1;
  std::int64_t request_deadline_ms = 1'000;
  /// Longest `request_deadline_ms` of the last 64 bundle versions: requests that an earlier owner
  /// sent under any of them may still run.
  std::int64_t longest_deadline_ms = 1'000;
  /// Share of a pool's slots that shifted requests leave free.
  std::uint32_t shift_headroom_percent = 20;
};

}  // namespace wagtailpick::admission
