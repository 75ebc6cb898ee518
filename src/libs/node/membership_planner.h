#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "consensus/membership.h"
#include "consensus/replica.h"

namespace wagtailpick::node {

/// Another replica as seen over the link from this one.
struct PeerReplica {
  /// Its cluster address, which is its name in the group.
  std::string name;
  /// Incarnation from its hello; 0 before the first hello.
  std::uint64_t incarnation = 0;
  /// How long the link to it has been down; zero while the link is up.
  base::Duration down_for{};
};

/// Returns the next membership change to propose, if any. Connected replicas that are not members
/// are added. A member whose link has been down for several seconds is removed; a voter only from
/// an even number of voters, four or more, as this never lowers the number of further losses that
/// the group survives.
std::optional<consensus::MembershipChange> NextMembershipChange(
    const consensus::Membership& members, const std::string& self,
    const std::vector<PeerReplica>& peers);

}  // namespace wagtailpick::node
