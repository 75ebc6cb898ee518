#include "node/membership_planner.h"

#include <algorithm>

namespace wagtailpick::node {
namespace {

using consensus::MemberRole;
using consensus::MembershipChange;

/// Longer than a restart takes, so that a restarted replica stays a member; short enough to remove
/// a lost replica before a second VM may be lost.
constexpr base::Duration kDownTimeToRemove = std::chrono::seconds(4);
constexpr std::size_t kMinVotersToRemoveOne = 4;

const PeerReplica* Find(const std::vector<PeerReplica>& peers, const std::string& name) {
  const auto found =
      std::find_if(peers.begin(), peers.end(), [&](const auto& peer) { return peer.name == name; });
  return found == peers.end() ? nullptr : &*found;
}

}  // namespace

std::optional<MembershipChange> NextMembershipChange(const consensus::Membership& members,
                                                     const std::string& self,
                                                     const std::vector<PeerReplica>& peers) {
  for (const auto& peer : peers) {
    const bool linked = peer.down_for == base::Duration::zero() && peer.incarnation != 0;
    if (!linked || peer.name.empty()) continue;
    if (members.FindName(peer.name) != nullptr) continue;
    return MembershipChange{MembershipChange::Kind::kAdd, {peer.name, peer.incarnation}};
  }
  const std::size_t voters = members.voter_count();
  for (const auto& member : members.members()) {
    if (member.key.name == self) continue;
    const auto* peer = Find(peers, member.key.name);
    if (peer == nullptr || peer->down_for < kDownTimeToRemove) continue;
    const bool may_remove_voter = voters >= kMinVotersToRemoveOne && voters % 2 == 0;
    if (member.role == MemberRole::kVoter && !may_remove_voter) continue;
    return MembershipChange{MembershipChange::Kind::kRemove, member.key};
  }
  return std::nullopt;
}

}  // namespace wagtailpick::node
