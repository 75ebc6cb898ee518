#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::metrics {

/// Counts observations in fixed buckets. Thread-safe.
class Histogram {
 public:
  /// `bounds` are the inclusive upper bounds of the buckets in ascending order; a last bucket
  /// without an upper bound is added.
  explicit Histogram(std::vector<double> bounds);

  /// Records `value`, which has the unit of the bounds.
  void Observe(double value);

  /// Appends the series `name` to `out` in the Prometheus text format, with cumulative buckets.
  /// `labels` is empty or a Prometheus label list without braces.
  void Render(const std::string& name, const std::string& labels, std::string& out) const;

 private:
  std::vector<double> bounds_;
  std::vector<std::atomic<std::uint64_t>> counts_;
  std::atomic<double> sum_ = 0;
};

/// Returns upper bounds of latency buckets in seconds, from half a millisecond to the longest
/// request deadline that a bundle may set.
std::vector<double> LatencyBounds();

}  // namespace wagtailpick::metrics
