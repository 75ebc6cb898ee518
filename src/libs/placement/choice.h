#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_time.h"
#include "catalog/route.h"

namespace wagtailpick::placement {

/// One request that needs an upstream.
struct PlacementRequest {
  const catalog::Route* route = nullptr;
  std::string service;
  /// Hash of the object that it concerns; 0 for none.
  std::uint64_t object = 0;
  /// Time until the caller or the route gives up.
  base::Duration time_left{};
  /// Time that has passed since the request came.
  base::Duration waited{};
  /// Upstreams that were tried already.
  std::vector<std::string> tried;
};

enum class Refusal : std::uint8_t {
  kNone,
  /// No upstream of the service may be used at all.
  kNoUpstream,
  /// All are so loaded that the answer would come after its objective or after the time left.
  kNoCapacity,
  /// Cold upstreams only, and their rate is used up.
  kColdLimit,
  /// All upstreams have said that they want nothing for a time.
  kBackingOff,
};

std::string_view ToString(Refusal refusal);

/// The upstream for a request, or why there is none.
struct Choice {
  Refusal refusal = Refusal::kNone;
  std::string upstream;
  std::string address;
  std::string data_centre;
  /// When the answer is expected, from now.
  base::Duration expected_total{};
  /// Part of `expected` for the upstream's queue.
  base::Duration expected_wait{};
  /// What the upstream's work is expected to take.
  base::Duration expected_work{};
  /// Whether the object was expected to be warm there.
  bool warm = false;
  /// Whether the upstream has just started and bounds its requests.
  bool cold_start = false;
  /// Age of the upstream's last announcement.
  base::Duration last_seen_age{};
  /// The upstream's load as it was believed, and its slots.
  double load = 0;
  std::uint32_t slots = 0;
  /// With `kBackingOff`: when the first upstream wants work again, from now.
  base::Duration retry_after{};
  /// Upstreams that were considered.
  std::size_t candidates = 0;
};

}  // namespace wagtailpick::placement
