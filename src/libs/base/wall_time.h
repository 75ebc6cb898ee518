#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace wagtailpick::base {

/// Latest time of a wall clock that is accepted from another process or a disk, in milliseconds
/// since the Unix epoch: 142,000 years. A sum or a difference of accepted times can't overflow.
inline constexpr std::int64_t kLatestWallMillis = std::int64_t{1} << 52;

/// Whether a time is one that a clock can show, before or after the epoch.
constexpr bool IsWallMillis(std::int64_t millis) {
  return millis >= -kLatestWallMillis && millis <= kLatestWallMillis;
}

/// Returns a time that another process has sent. Fails with `kInvalidArgument` and a message that
/// starts with the name of its field if no clock can show it.
inline Result<std::int64_t> CheckWallMillis(std::int64_t millis, const std::string& field) {
  if (IsWallMillis(millis)) return millis;
  const auto limit = std::to_string(kLatestWallMillis);
  return Fail(ErrorCode::kInvalidArgument,
              field + ": expected milliseconds from -" + limit + " to " + limit);
}

}  // namespace wagtailpick::base
