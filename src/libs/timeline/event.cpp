#include "timeline/event.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::timeline {
namespace {

constexpr std::array<base::EnumName<EventKind>, 26> kKindNames{{
    {EventKind::kProcessStarted, "process_started"},
    {EventKind::kProcessStopping, "process_stopping"},
    {EventKind::kBundleAccepted, "bundle_accepted"},
    {EventKind::kBundleRefused, "bundle_refused"},
    {EventKind::kBundleInForce, "bundle_in_force"},
    {EventKind::kLeaseGranted, "lease_granted"},
    {EventKind::kLeaseEnded, "lease_ended"},
    {EventKind::kLeaderElected, "leader_elected"},
    {EventKind::kLeaderLost, "leader_lost"},
    {EventKind::kOwnershipGranted, "ownership_granted"},
    {EventKind::kOwnershipEnded, "ownership_ended"},
    {EventKind::kUpstreamSeen, "upstream_seen"},
    {EventKind::kUpstreamSilent, "upstream_silent"},
    {EventKind::kUpstreamRestarted, "upstream_restarted"},
    {EventKind::kUpstreamDraining, "upstream_draining"},
    {EventKind::kUpstreamLeft, "upstream_left"},
    {EventKind::kUpstreamIdle, "upstream_idle"},
    {EventKind::kDrainStarted, "drain_started"},
    {EventKind::kShiftStep, "shift_step"},
    {EventKind::kShareGranted, "share_granted"},
    {EventKind::kRequestRefused, "request_refused"},
    {EventKind::kRequestSuspect, "request_suspect"},
    {EventKind::kRequestBlocked, "request_blocked"},
    {EventKind::kReplicaJoined, "replica_joined"},
    {EventKind::kReplicaCaughtUp, "replica_caught_up"},
    {EventKind::kReplicaRemoved, "replica_removed"},
}};

}  // namespace

std::string_view ToString(EventKind kind) { return base::NameOf(kKindNames, kind); }

}  // namespace wagtailpick::timeline
