#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/monotonic_time.h"

namespace wagtailpick::upstreams {

enum class State : std::uint8_t {
  /// Takes new work.
  kReady = 0,
  /// Finishes what it has.
  kDraining = 1,
  /// Has said that it leaves.
  kLeft = 2,
};

std::string_view ToString(State state);

/// What one run of an upstream said of itself last.
struct UpstreamReport {
  /// Names the run; a restart may keep it.
  std::string id;
  /// When the run began, in milliseconds of the upstream's wall clock.
  std::int64_t started_unix_ms = 0;
  /// Rises with each announcement of a run.
  std::uint64_t sequence = 0;
  State state = State::kReady;
  std::string service;
  std::string address;
  std::string data_centre;
  std::string version;
  std::uint32_t slots = 1;
  /// How much longer the upstream is cold, as of the announcement.
  base::Duration cold_left{};

  friend bool operator==(const UpstreamReport&, const UpstreamReport&) = default;
};

}  // namespace wagtailpick::upstreams
