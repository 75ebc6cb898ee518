#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::routing {

/// How one request to an upstream ended.
struct UpstreamOutcome {
  /// From sending the request to the whole answer.
  base::Duration latency{0};
  /// False for a 5xx that isn't a shed, a lost connection, a truncated answer or a timeout.
  bool ok = true;
};

/// Latency and errors of one upstream over its last answers, and its ejection as an outlier.
class UpstreamHealth {
 public:
  void Observe(const UpstreamOutcome& outcome, base::MonotonicTime now);

  /// Whether the error share calls for an ejection that hasn't begun.
  bool ShouldEject(base::MonotonicTime now) const;

  /// Ejects for 5 s, and for twice the time before (at most 60 s) after a recent ejection.
  void Eject(base::MonotonicTime now);

  bool Ejected(base::MonotonicTime now) const { return now < ejected_until_; }

  /// Errors among the last 20 answers, 0 to 1.
  float ErrorShare() const;

  /// Expected time of an answer in microseconds. An observation loses its weight against
  /// `peer_median_us` (the median of the peers) with age, so that an upstream that was slow once is
  /// tried again.
  float ExpectedLatency(float peer_median_us, base::MonotonicTime now) const;

  bool has_latency() const { return samples_ > 0; }
  float latency_us() const { return latency_us_; }

 private:
  float latency_us_ = 0;
  std::uint32_t samples_ = 0;
  base::MonotonicTime observed_at_;
  // The last answers, one bit each, the newest lowest; 1 is an error.
  std::uint32_t errors_ = 0;
  std::uint32_t answers_ = 0;
  base::Duration ejection_{0};
  base::MonotonicTime ejected_until_;
};

}  // namespace wagtailpick::routing
