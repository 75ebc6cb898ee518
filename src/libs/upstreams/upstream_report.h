#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/monotonic_time.h"

namespace wagtailpick::upstreams {

enum class State : std::uint8_t {
  /// Takes new requests.
  kReady = 0,
  /// Finishes its running requests and takes no new ones.
  kDraining = 1,
  /// Has announced that it is leaving.
  kLeft = 2,
};

/// Returns the state's name for logs.
std::string_view ToString(State state);

/// The last known announcement of one run of an upstream.
struct UpstreamReport {
  /// Identifies the upstream. A restarted upstream may keep its id.
  std::string id;
  /// When the run started, in milliseconds since the Unix epoch by the upstream's clock.
  std::int64_t started_unix_ms = 0;
  /// Increases with each announcement of a run.
  std::uint64_t sequence = 0;
  State state = State::kReady;
  std::string service;
  std::string address;
  std::string data_centre;
  std::string version;
  std::uint32_t slots = 1;
  /// How much longer the upstream's caches are cold, counted from the announcement.
  base::Duration cold_left{};

  friend bool operator==(const UpstreamReport&, const UpstreamReport&) = default;
};

/// Whether two reports of an upstream differ only in fields that change with each announcement.
bool IsSameState(const UpstreamReport& a, const UpstreamReport& b);

}  // namespace wagtailpick::upstreams
