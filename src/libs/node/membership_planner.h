#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "consensus/membership.h"
#include "consensus/replica.h"

namespace wagtailpick::node {

/// A replica that has been heard of over links.
struct PeerReplica {
  std::string name;
  std::uint64_t incarnation = 0;
  /// How long nothing was heard of it; zero while its link is up.
  base::Duration silent{};
};

/// Says which one change of the group comes next, if any: replicas that are connected join; a
/// member of an even group that has been silent for long goes, which never lowers the number of
/// further losses that the group survives.
std::optional<consensus::MembershipChange> NextMembershipChange(
    const consensus::Membership& members, const std::string& self,
    const std::vector<PeerReplica>& peers);

}  // namespace wagtailpick::node
