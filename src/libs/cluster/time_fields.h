#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

#include "base/monotonic_time.h"

namespace wagtailpick::cluster {

/// Returns a span of time, limited to 100 years in both directions, so that no sum with it
/// overflows; `base::Duration::max()` is kept where `may_be_unknown` is set. Throws
/// `nlohmann::json::exception` if the field is no integer of 64 bits.
base::Duration DurationFrom(const nlohmann::json& field, bool may_be_unknown = false);

/// Returns a time of a wall clock in milliseconds. Throws `nlohmann::json::exception` for one that
/// no clock shows, as a sum with it could overflow.
std::int64_t WallMillisFrom(const nlohmann::json& field);

}  // namespace wagtailpick::cluster
