#include "relay/relay_metrics.h"

#include <string>

namespace wagtailpick::relay {
namespace {

std::string Label(std::string_view result) { return "result=\"" + std::string(result) + "\""; }

}  // namespace

RelayMetrics::RelayMetrics(metrics::Registry& registry)
    : registry_(registry),
      total_(registry.HistogramAt("wagtailpick_request_seconds", metrics::LatencyBounds())),
      upstream_(registry.HistogramAt("wagtailpick_upstream_seconds", metrics::LatencyBounds())) {}

void RelayMetrics::RecordAnswer(std::string_view result, base::Duration total) {
  registry_.CounterAt("wagtailpick_requests_total", Label(result)).Add();
  total_.Observe(base::ToSeconds(total));
}

void RelayMetrics::RecordExchange(std::string_view result, base::Duration took) {
  registry_.CounterAt("wagtailpick_exchanges_total", Label(result)).Add();
  upstream_.Observe(base::ToSeconds(took));
}

void RelayMetrics::CountUpstreamStatus(std::string_view status) {
  registry_.CounterAt("wagtailpick_upstream_words_total", "says=\"" + std::string(status) + "\"")
      .Add();
}

void RelayMetrics::CountToken(std::string_view outcome) {
  registry_.CounterAt("wagtailpick_limit_tokens_total", Label(outcome)).Add();
}

}  // namespace wagtailpick::relay
