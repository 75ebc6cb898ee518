#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/monotonic_time.h"

namespace wagtailpick::routing {

/// This entry's share of one direction of a link between two regions, in bytes per window. Counts
/// in steps of 10 ms, rounded so that no window of 1,000 ms holds more than the share.
class LinkBudget {
 public:
  /// Sets the share. It counts until `valid_until`; after that nothing is reserved.
  void SetShare(std::uint64_t bytes_per_window, base::MonotonicTime valid_until);

  /// Reserves `bytes`; returns false when they don't fit into the window that ends now.
  bool TryReserve(std::uint64_t bytes, base::MonotonicTime now);

  /// Charges what a request used beyond its reservation. It counts in the following windows, each
  /// up to its whole share, until it is paid off.
  void ChargeExcess(std::uint64_t bytes, base::MonotonicTime now);

  /// Gives back a reservation made at `reserved_at` for a request that was not sent.
  void Return(std::uint64_t bytes, base::MonotonicTime reserved_at);

  /// Bytes that can be reserved at `now`.
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
  // Excess that no window has counted yet.
  std::uint64_t debt_ = 0;
};

}  // namespace wagtailpick::routing
