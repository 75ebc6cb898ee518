#include "metrics/histogram.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace wagtailpick::metrics {
namespace {

std::string ToText(double value) {
  std::array<char, 512> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
  return {digits.data(), end.ptr};
}

}  // namespace

Histogram::Histogram(std::vector<double> bounds)
    : bounds_(std::move(bounds)), counts_(bounds_.size() + 1) {}

void Histogram::Observe(double value) {
  const auto bucket = std::lower_bound(bounds_.begin(), bounds_.end(), value) - bounds_.begin();
  counts_[static_cast<std::size_t>(bucket)].fetch_add(1, std::memory_order_relaxed);
  sum_.fetch_add(value, std::memory_order_relaxed);
}

void Histogram::Render(const std::string& name, const std::string& labels, std::string& out) const {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const std::string suffix = labels.empty() ? " " : "{" + labels + "} ";
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    total += counts_[i].load(std::memory_order_relaxed);
    const std::string upper_bound = i < bounds_.size() ? ToText(bounds_[i]) : "+Inf";
    out +=
        name + "_bucket{" + prefix + "le=\"" + upper_bound + "\"} " + std::to_string(total) + "\n";
  }
  out += name + "_sum" + suffix + ToText(sum_.load(std::memory_order_relaxed)) + "\n";
  out += name + "_count" + suffix + std::to_string(total) + "\n";
}

std::vector<double> LatencyBounds() {
  return {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
}

}  // namespace wagtailpick::metrics
