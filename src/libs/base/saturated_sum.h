#pragma once

#include <cstdint>
#include <limits>

namespace wagtailpick::base {

/// Returns `a + b`, or the nearest value that fits. For times that another process sends, as their
/// sum with a duration may not fit.
constexpr std::int64_t SaturatedSum(std::int64_t a, std::int64_t b) {
  constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
  constexpr auto kMin = std::numeric_limits<std::int64_t>::min();
  if (b > 0 && a > kMax - b) return kMax;
  if (b < 0 && a < kMin - b) return kMin;
  return a + b;
}

}  // namespace wagtailpick::base
