#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "safety/fingerprint.h"

namespace wagtailpick::safety {

/// Wall-clock time in milliseconds since the Unix epoch.
using WallMillis = std::int64_t;

/// One run of an upstream: its process from a start to its end.
struct UpstreamRun {
  std::string address;
  /// Distinguishes the runs at the same address.
  std::uint64_t incarnation = 0;

  friend bool operator==(const UpstreamRun&, const UpstreamRun&) = default;
};

/// Records that a connection was lost after request bytes were sent and before a complete answer
/// arrived.
struct Strike {
  /// Unique among all entries. All requests that were lost in one event have the same id.
  std::string id;
  UpstreamRun upstream;
  /// The session of the upstream's owner (the entry that sends to it) if the connection to that
  /// entry was lost; empty if the owner itself saw the loss of the upstream.
  std::string owner_session;
  /// Number of the upstream's last announcement that was received before the loss.
  std::uint64_t announcement = 0;
  WallMillis at = 0;
  /// Withdrawn because the upstream proved to be running, or cleared by a success. Never reset.
  bool is_void = false;

  friend bool operator==(const Strike&, const Strike&) = default;
};

/// Records a complete answer. The address shows whether it came from another upstream than a
/// strike.
struct Success {
  std::string address;
  WallMillis at = 0;

  friend bool operator==(const Success&, const Success&) = default;
};

/// The latest success of each of the two upstreams that answered most recently. The latest is
/// first.
using Successes = std::array<Success, 2>;

/// Adds `success`; ignores one without an address.
void AddSuccess(Successes& successes, const Success& success);

/// What one entry knows about a fingerprint. Entries exchange these reports.
struct SuspectReport {
  Fingerprint fingerprint{};
  /// Sorted by id.
  std::vector<Strike> strikes;
  Successes successes;
  /// When a refused attempt last renewed the block; 0 for never.
  WallMillis renewed_at = 0;

  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

/// Merges `other` into `report`. Merges are commutative and idempotent. Returns whether `report`
/// changed.
bool MergeInto(SuspectReport& report, const SuspectReport& other);

/// Adds `strike`. If a strike with its id is known, keeps the later time, and marks the strike as
/// void if either is.
void AddStrike(SuspectReport& report, const Strike& strike);

/// Returns the least number of upstreams whose loss explains the valid strikes. Strikes for the
/// same upstream run count once. So do strikes with the same lost owner, as its end interrupts the
/// requests on all of its upstreams. Without `include_owner_losses`, only losses of upstreams that
/// their owners saw are counted.
std::size_t CountLostUpstreams(const SuspectReport& report, bool include_owner_losses);

/// Whether the request was answered at or after `since` by an upstream for which there is no valid
/// strike of its owner.
bool SucceededElsewhere(const SuspectReport& report, WallMillis since);

}  // namespace wagtailpick::safety
