#include "cluster/time_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "base/wall_time.h"

namespace wagtailpick::cluster {
namespace {

/// 100 years.
constexpr base::Duration kLongestSpan = std::chrono::hours(100 * 365 * 24);

}  // namespace

base::Duration DurationFrom(const nlohmann::json& field, bool may_be_unknown) {
  const base::Duration span(base::IntegerFrom<std::int64_t>(field));
  if (may_be_unknown && span == base::Duration::max()) return span;
  return std::clamp(span, -kLongestSpan, kLongestSpan);
}

std::int64_t WallMillisFrom(const nlohmann::json& field) {
  const auto millis = base::IntegerFrom<std::int64_t>(field);
  if (!base::IsWallMillis(millis)) {
    throw nlohmann::json::out_of_range::create(base::kJsonOutOfRange, "time out of range", &field);
  }
  return millis;
}

}  // namespace wagtailpick::cluster
