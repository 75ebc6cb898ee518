#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_time.h"
#include "catalog/route.h"

namespace wagtailpick::placement {

/// A request for which an upstream is to be chosen.
struct PlacementRequest {
  const catalog::Route* route = nullptr;
  std::string service;
  /// Hash of the object that the request concerns, see `RouteObjectHash`; 0 for none.
  std::uint64_t object = 0;
  /// Time until the deadline, the earlier one of the caller and the route.
  base::Duration time_left{};
  /// Time since the request arrived.
  base::Duration waited{};
  /// IDs of the upstreams that are not to be chosen, as earlier attempts went to them.
  std::vector<std::string> tried;
  /// Whether upstreams with a rate limit are not to be chosen, as there is no time to ask for a
  /// token.
  bool skip_limited = false;
};

/// Why no upstream was chosen.
enum class Refusal : std::uint8_t {
  kNone,
  /// No upstream of the service can be used.
  kNoUpstream,
  /// Even the best upstream is so loaded that its answer would miss the route's objective or the
  /// deadline.
  kNoCapacity,
  /// A cold upstream was left out because its rate limit is used up, and no other one is usable.
  kColdLimit,
  /// No upstream is usable, and at least one is backing off.
  kBackingOff,
  /// No upstream is usable, and the rate limit of at least one holds the request back.
  kRateLimited,
};

/// Returns the value as it appears in logs and metrics.
std::string_view ToString(Refusal refusal);

/// An upstream whose rate limit held a request back.
struct HeldBackBy {
  std::string upstream;
  /// The limit, in requests per second from all entries together.
  double requests_per_second = 0;
  /// Time since the upstream stated the limit.
  base::Duration age{};
};

/// The upstream for a request, or why there is none. With `kNoCapacity`, the fields describe the
/// best upstream that was rejected.
struct Choice {
  Refusal refusal = Refusal::kNone;
  /// ID of the upstream.
  std::string upstream;
  /// IP address and port of the upstream.
  std::string address;
  std::string data_centre;
  /// Expected time from now to the answer: network, queue and work.
  base::Duration expected_total{};
  /// Part of `expected_total` spent in the upstream's queue.
  base::Duration expected_wait{};
  /// Part of `expected_total` in which the upstream works on the request.
  base::Duration expected_work{};
  /// Whether the upstream is expected to be warm for the object.
  bool warm = false;
  /// Whether the chosen upstream is cold, so that its rate limit counts the request.
  bool cold_start = false;
  /// Whether the upstream has a rate limit, so that the request may be sent only with a token.
  bool needs_token = false;
  /// An upstream that would have been considered but for its rate limit; empty if there is none.
  std::optional<HeldBackBy> held_back_by;
  /// Age of the upstream's last announcement.
  base::Duration last_seen_age{};
  /// Estimated requests at the upstream, running and queued.
  double load = 0;
  /// Requests that the upstream runs at the same time.
  std::uint32_t slots = 0;
  /// With `kBackingOff` and `kRateLimited`: time from now until the first upstream may be usable.
  base::Duration retry_after{};
  /// Number of usable upstreams among which the choice was made.
  std::size_t candidates = 0;
};

}  // namespace wagtailpick::placement
