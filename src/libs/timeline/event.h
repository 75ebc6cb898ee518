#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hybrid_clock.h"

namespace wagtailpick::timeline {

/// What happened.
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

/// Returns the kind's name in the time line, such as "bundle_accepted".
std::string_view ToString(EventKind kind);

/// One entry of the time line.
struct Event {
  base::HybridStamp stamp;
  /// Position in the ring of its process, from 1.
  std::uint64_t sequence = 0;
  std::string vm;
  EventKind kind = EventKind::kProcessStarted;
  /// What the event is about, such as an upstream's address or a bundle's version.
  std::string subject;
  std::string detail;
};

}  // namespace wagtailpick::timeline
