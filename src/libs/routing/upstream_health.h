#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::routing {

/// Outcome of one request to an upstream.
struct UpstreamOutcome {
  /// Time from sending the request to the complete answer.
  base::Duration latency{0};
  /// False for a 5xx answer that is not a shed, a lost connection, a truncated answer or a timeout.
  bool ok = true;
};

/// Average latency and error share of one upstream, and its ejection as an outlier.
class UpstreamHealth {
 public:
  /// Records an outcome. The latency of errors is not included in the average.
  void Observe(const UpstreamOutcome& outcome, base::MonotonicTime now);

  /// Returns whether more than half of the last answers (at least 5) were errors and the upstream
  /// is not ejected yet.
  bool ShouldEject(base::MonotonicTime now) const;

  /// Ejects the upstream for 5 s, or after a recent ejection for twice its time, at most 60 s.
  void Eject(base::MonotonicTime now);

  bool Ejected(base::MonotonicTime now) const { return now < ejected_until_; }

  /// Returns the share of errors among the last 20 answers, 0 to 1.
  float ErrorShare() const;

  /// Expected time of an answer in microseconds. An observation loses its weight against
  /// `peer_median_us` (the median of the peers) with age, so that an upstream that was slow once is
  /// tried again.
  float ExpectedLatency(float peer_median_us, base::MonotonicTime now) const;

  /// Whether a latency was recorded.
  bool has_latency() const { return samples_ > 0; }
  /// Average latency in microseconds.
  float latency_us() const { return latency_us_; }

 private:
  float latency_us_ = 0;
  std::uint32_t samples_ = 0;
  base::MonotonicTime observed_at_;
  // One bit for each of the last answers, 1 for an error; the newest is the lowest bit.
  std::uint32_t errors_ = 0;
  std::uint32_t answers_ = 0;
  base::Duration ejection_{0};
  base::MonotonicTime ejected_until_;
};

}  // namespace wagtailpick::routing
