#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hybrid_clock.h"

namespace wagtailpick::timeline {

/// Kind of an event.
enum class EventKind {
  kProcessStarted,
  kProcessStopping,
  kBundleAccepted,
  kBundleRefused,
  kBundleInForce,
  kLeaseGranted,
  kLeaseEnded,
  kLeaderElected,
  kLeaderLost,
  kOwnershipGranted,
  kOwnershipEnded,
  kUpstreamSeen,
  kUpstreamSilent,
  kUpstreamRestarted,
  kUpstreamDraining,
  kUpstreamLeft,
  kUpstreamIdle,
  kDrainStarted,
  kShiftStep,
  kShareGranted,
  kRequestRefused,
  kRequestSuspect,
  kRequestBlocked,
  kReplicaJoined,
  kReplicaCaughtUp,
  kReplicaRemoved,
};

/// Returns the name of `kind` in the timeline, such as "bundle_accepted".
std::string_view ToString(EventKind kind);

/// An event of the timeline.
struct Event {
  base::HybridStamp stamp;
  /// Number of the event in its process, from 1. Dropped events count too.
  std::uint64_t sequence = 0;
  /// VM of the process that recorded the event.
  std::string vm;
  EventKind kind = EventKind::kProcessStarted;
  /// The thing that the event concerns, such as an upstream's address or a bundle's version.
  std::string subject;
  std::string detail;
};

}  // namespace wagtailpick::timeline
