#pragma once

#include <string_view>

#include "base/monotonic_time.h"
#include "metrics/registry.h"

namespace wagtailpick::relay {

/// Counters and histograms of requests.
class RelayMetrics {
 public:
  explicit RelayMetrics(metrics::Registry& registry);

  /// Records that a request ended after `total`. `result` is the reason, or the outcome when there
  /// is no reason.
  void RecordAnswer(std::string_view result, base::Duration total);
  /// Records that an exchange with an upstream ended after `took`.
  void RecordExchange(std::string_view result, base::Duration took);
  /// Counts an answer that announced a status of its upstream: "leaving" or "unwanted" (it backs
  /// off).
  void CountUpstreamStatus(std::string_view status);
  /// Counts a request for a token of a limited upstream by its outcome.
  void CountToken(std::string_view outcome);

 private:
  metrics::Registry& registry_;
  metrics::Histogram& total_;
  metrics::Histogram& upstream_;
};

}  // namespace wagtailpick::relay
