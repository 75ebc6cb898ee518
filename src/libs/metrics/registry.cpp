#include "metrics/registry.h"

namespace wagtailpick::metrics {
namespace {

template <typename Families>
void RenderFamilies(const Families& families, const char* type, std::string& out) {
  for (const auto& [name, series] : families) {
    out += "# TYPE " + name + " " + type + "\n";
    for (const auto& [labels, metric] : series) {
      out += labels.empty() ? name : name + "{" + labels + "}";
      out.append(" ").append(std::to_string(metric.value())).append("\n");
    }
  }
}

}  // namespace

Counter& Registry::CounterAt(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(mutex_);
  return counters_[name][labels];
}

Gauge& Registry::GaugeAt(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(mutex_);
  return gauges_[name][labels];
}

Histogram& Registry::HistogramAt(const std::string& name, const std::vector<double>& bounds,
                                 const std::string& labels) {
  const std::lock_guard lock(mutex_);
  return histograms_[name].try_emplace(labels, bounds).first->second;
}

std::string Registry::RenderText() const {
  const std::lock_guard lock(mutex_);
  std::string out;
  RenderFamilies(counters_, "counter", out);
  RenderFamilies(gauges_, "gauge", out);
  for (const auto& [name, series] : histograms_) {
    out += "# TYPE " + name + " histogram\n";
    for (const auto& [labels, histogram] : series) histogram.Render(name, labels, out);
  }
  return out;
}

}  // namespace wagtailpick::metrics
