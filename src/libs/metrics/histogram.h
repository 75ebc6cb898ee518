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
  /// `bounds` are the inclusive upper ends of the buckets, rising; a last bucket without an end is
  /// added.
  explicit Histogram(std::vector<double> bounds);

  /// Counts `value`, in the unit of the bounds.
  void Observe(double value);

  /// Appends the series in the Prometheus text format, buckets cumulated. `labels` is empty or has
  /// the Prometheus form without braces.
  void Render(const std::string& name, const std::string& labels, std::string& out) const;

 private:
  std::vector<double> bounds_;
  std::vector<std::atomic<std::uint64_t>> counts_;
  std::atomic<double> sum_ = 0;
};

/// Upper ends of latency buckets in seconds, from half a millisecond to the longest request
/// deadline that a bundle may set.
std::vector<double> LatencyBounds();

}  // namespace wagtailpick::metrics
