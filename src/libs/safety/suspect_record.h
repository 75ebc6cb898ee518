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

/// One start of an upstream.
struct UpstreamRun {
  std::string address;
  std::uint64_t incarnation = 0;

  friend bool operator==(const UpstreamRun&, const UpstreamRun&) = default;
};

/// A connection lost after request bytes were sent and before a complete answer arrived.
struct Strike {
  /// Unique over all entries. All requests lost in one event share it.
  std::string id;
  UpstreamRun upstream;
  /// Set when the owner of the upstream was lost instead: the start of that entry.
  std::string owner_session;
  /// The last announcement of the upstream that was heard before the loss.
  std::uint64_t announcement = 0;
  WallMillis at = 0;
  /// Withdrawn by proof of life, or cleared by a success; never taken back.
  bool is_void = false;

  friend bool operator==(const Strike&, const Strike&) = default;
};

/// A complete answer; the address tells whether it came from elsewhere than a strike.
struct Success {
  std::string address;
  WallMillis at = 0;

  friend bool operator==(const Success&, const Success&) = default;
};

/// The latest success of each of the two upstreams that succeeded last.
using Successes = std::array<Success, 2>;

void AddSuccess(Successes& successes, const Success& success);

/// What one entry knows about a fingerprint, and tells the others.
struct SuspectReport {
  Fingerprint fingerprint{};
  /// By id.
  std::vector<Strike> strikes;
  Successes successes;
  /// The last attempt that was refused because of a block.
  WallMillis renewed_at = 0;

  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

/// Takes what `other` knows into `report`. The result doesn't depend on the order of merges, and
/// merging twice changes nothing. Returns whether `report` changed.
bool MergeInto(SuspectReport& report, const SuspectReport& other);

/// Adds `strike`, or marks the known one as void.
void AddStrike(SuspectReport& report, const Strike& strike);

/// Returns how many upstreams the valid strikes can have taken down at least. Strikes that name the
/// same upstream run count once. So do those that name the same lost owner: its end cuts off what
/// ran on all of its upstreams.
/// `owners_too` is false to count only the losses that owners saw.
std::size_t CountLostUpstreams(const SuspectReport& report, bool owners_too);

/// Whether the request was answered at or after `since` by another upstream than those whose loss
/// their owners saw.
bool SucceededElsewhere(const SuspectReport& report, WallMillis since);

}  // namespace wagtailpick::safety
