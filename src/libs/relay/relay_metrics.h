#pragma once

#include <string_view>

#include "base/monotonic_time.h"
#include "metrics/registry.h"

namespace wagtailpick::relay {

/// Counters and histograms of requests.
class RelayMetrics {
 public:
  explicit RelayMetrics(metrics::Registry& registry);

  /// A request was answered; `result` is a word of the log's `outcome` field.
  void NoteAnswer(std::string_view result, base::Duration total);
  /// An upstream's exchange ended.
  void NoteExchange(std::string_view result, base::Duration took);
  /// An upstream said of itself in an answer that it leaves, or that it wants nothing for a time.
  void NoteUpstreamAnswer(std::string_view says);

 private:
  metrics::Registry& registry_;
  metrics::Histogram& total_;
  metrics::Histogram& upstream_;
};

}  // namespace wagtailpick::relay
