#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "metrics/histogram.h"

namespace wagtailpick::metrics {

/// A value that only increases. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

/// A value that can increase and decrease. Thread-safe.
class Gauge {
 public:
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_ = 0;
};

/// The metrics of one process. Thread-safe. The returned references stay valid for the lifetime of
/// the registry.
class Registry {
 public:
  /// Returns the counter with this name and these labels; creates it on first use. `labels` is
  /// empty or a Prometheus label list without braces, such as `verdict="ran"`.
  Counter& CounterAt(const std::string& name, const std::string& labels = {});

  /// Returns the gauge with this name and these labels; creates it on first use.
  Gauge& GaugeAt(const std::string& name, const std::string& labels = {});

  /// Returns the histogram with this name and these labels; creates it with `bounds` (see
  /// `Histogram`) on first use and ignores `bounds` later.
  Histogram& HistogramAt(const std::string& name, const std::vector<double>& bounds,
                         const std::string& labels = {});

  /// Returns all metrics in the Prometheus text format.
  std::string RenderText() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, Counter>> counters_;
  std::map<std::string, std::map<std::string, Gauge>> gauges_;
  std::map<std::string, std::map<std::string, Histogram>> histograms_;
};

}  // namespace wagtailpick::metrics
