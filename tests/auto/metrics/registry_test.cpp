#include "metrics/registry.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <thread>
#include <vector>

using wagtailpick::metrics::LatencyBounds;
using wagtailpick::metrics::Registry;

// Guards against text that Prometheus rejects, such as two type lines for one name.
Test(registry, text_has_one_type_line_for_each_name) {
  Registry registry;
  registry.CounterAt("requests_total", "verdict=\"ran\"").Add(3);
  registry.CounterAt("requests_total", "verdict=\"not_run\"").Add();
  registry.CounterAt("starts_total").Add();
  registry.GaugeAt("running").Set(-2);
  const std::string expected =
      "# TYPE requests_total counter\n"
      "requests_total{verdict=\"not_run\"} 1\n"
      "requests_total{verdict=\"ran\"} 3\n"
      "# TYPE starts_total counter\n"
      "starts_total 1\n"
      "# TYPE running gauge\n"
      "running -2\n";
  cr_assert(registry.RenderText() == expected, "%s", registry.RenderText().c_str());
}

// Guards against buckets that are not cumulative and against exclusive upper bounds.
Test(registry, histogram_buckets_are_cumulative_with_inclusive_bounds) {
  Registry registry;
  auto& histogram = registry.HistogramAt("seconds", {0.0005, 0.25, 1});
  for (const double value : {0.0005, 0.25, 0.5, 8.0}) histogram.Observe(value);
  const std::string expected =
      "# TYPE seconds histogram\n"
      "seconds_bucket{le=\"0.0005\"} 1\n"
      "seconds_bucket{le=\"0.25\"} 2\n"
      "seconds_bucket{le=\"1\"} 3\n"
      "seconds_bucket{le=\"+Inf\"} 4\n"
      "seconds_sum 8.7505\n"
      "seconds_count 4\n";
  cr_assert(registry.RenderText() == expected, "%s", registry.RenderText().c_str());
}

// Guards against a label that is lost or not separated from the bucket's label `le`.
Test(registry, a_labelled_histogram_keeps_its_labels) {
  Registry registry;
  registry.HistogramAt("seconds", {1}, "service=\"menu\"").Observe(2);
  const std::string expected =
      "# TYPE seconds histogram\n"
      "seconds_bucket{service=\"menu\",le=\"1\"} 0\n"
      "seconds_bucket{service=\"menu\",le=\"+Inf\"} 1\n"
      "seconds_sum{service=\"menu\"} 2\n"
      "seconds_count{service=\"menu\"} 1\n";
  cr_assert(registry.RenderText() == expected, "%s", registry.RenderText().c_str());
}

// Guards against counts that are lost between threads, and against a second series with the same
// name.
Test(registry, threads_share_one_series) {
  constexpr std::uint64_t kThreads = 4;
  constexpr std::uint64_t kRounds = 1'000;
  Registry registry;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::uint64_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&registry] {
      for (std::uint64_t round = 0; round < kRounds; ++round) {
        registry.CounterAt("events_total").Add();
        registry.HistogramAt("seconds", LatencyBounds()).Observe(1);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  const std::string text = registry.RenderText();
  cr_expect(registry.CounterAt("events_total").value() == kThreads * kRounds);
  cr_expect(text.find("seconds_count 4000\n") != std::string::npos, "%s", text.c_str());
  cr_expect(text.find("seconds_sum 4000\n") != std::string::npos, "%s", text.c_str());
}
