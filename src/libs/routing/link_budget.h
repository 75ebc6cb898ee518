#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/monotonic_time.h"

namespace wagtailpick::routing {

/// This entry's share of one direction of a link between two regions, in bytes per window of 1,000
/// ms. Counts in steps of 10 ms. A step is counted until all of it is outside the window, so that
/// no window exceeds the share.
class LinkBudget {
 public:
  /// Sets the share. Nothing can be reserved from `valid_until` on.
  void SetShare(std::uint64_t bytes_per_window, base::MonotonicTime valid_until);

  /// Reserves `bytes`. Returns false if they exceed what is left of the share in the window that
  /// ends at `now`.
  bool TryReserve(std::uint64_t bytes, base::MonotonicTime now);

  /// Charges the bytes that a request used beyond its reservation. They are counted in the
  /// following windows, up to the whole share of each, and nothing can be reserved until all are
  /// counted.
  void ChargeExcess(std::uint64_t bytes, base::MonotonicTime now);

  /// Returns a reservation made at `reserved_at` for a request that was not sent.
  void Return(std::uint64_t bytes, base::MonotonicTime reserved_at);

  /// Returns the number of bytes that can be reserved at `now`.
  std::uint64_t Available(base::MonotonicTime now);

  static constexpr base::Duration kWindow{1'000'000};

 private:
  struct Step {
    base::MonotonicTime begin;
    std::uint64_t bytes = 0;
  };

  void Expire(base::MonotonicTime now);
  void Add(std::uint64_t bytes, base::MonotonicTime now);

  std::uint64_t share_ = 0;
  base::MonotonicTime valid_until_;
  std::deque<Step> steps_;
  std::uint64_t used_ = 0;
  // Excess bytes that no window has counted yet.
  std::uint64_t debt_ = 0;
};

}  // namespace wagtailpick::routing
