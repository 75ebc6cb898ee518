#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Error rate and ejection of one upstream.
class OutlierState {
 public:
  /// Number of answers that the error rate covers.
  static constexpr std::uint32_t kWindow = 20;
  static constexpr base::Duration kFirstEjection = std::chrono::seconds(5);
  static constexpr base::Duration kLongestEjection = std::chrono::seconds(60);

  /// Records the outcome of a request: an error or a successful answer.
  void Record(bool error);

  /// True when more than half of the last `kWindow` outcomes were errors. Missing outcomes count as
  /// successes.
  bool ErrorShareTooHigh() const;

  /// Ejects the upstream for `kFirstEjection`. If the last ejection ended less than
  /// `kLongestEjection` ago, the new one lasts twice as long as that one, at most
  /// `kLongestEjection`. Clears the recorded outcomes, so that old errors do not cause the next
  /// ejection.
  void Eject(base::MonotonicTime now);

  bool ejected(base::MonotonicTime now) const { return now < ejected_until_; }

 private:
  /// One bit per outcome, the newest in bit 0; 1 is an error.
  std::uint32_t errors_ = 0;
  base::Duration last_ejection_{};
  base::MonotonicTime ejected_until_ = base::MonotonicTime::min();
};

/// True when one more of `upstreams` may be ejected in addition to the `ejected` ones: at most a
/// third of a pool is ejected at a time.
constexpr bool MayEjectOneMore(std::uint32_t ejected, std::uint32_t upstreams) {
  return 3 * (std::uint64_t{ejected} + 1) <= upstreams;
}

}  // namespace wagtailpick::admission
