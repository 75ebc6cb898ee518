#include "node/membership_planner.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using consensus::MemberRole;
using consensus::MembershipChange;
using std::chrono::seconds;

consensus::Membership Voters(std::size_t count) {
  std::vector<consensus::Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({{"r" + std::to_string(i), 1}, MemberRole::kVoter});
  }
  return consensus::Membership(members);
}

std::vector<node::PeerReplica> Peers(std::size_t count) {
  std::vector<node::PeerReplica> peers;
  for (std::size_t i = 1; i < count; ++i) peers.push_back({"r" + std::to_string(i), 1, {}});
  return peers;
}

}  // namespace

// Guards against a replacement replica that never becomes a member.
Test(membership_planner, adds_a_connected_replica) {
  auto peers = Peers(3);
  peers.push_back({"new", 7, {}});
  const auto change = node::NextMembershipChange(Voters(3), "r0", peers);
  cr_assert(change.has_value());
  cr_expect(change->kind == MembershipChange::Kind::kAdd);
  cr_expect(change->replica == (consensus::ReplicaKey{"new", 7}));
}

// Guards against adding a replica whose link is down or whose hello has not arrived.
Test(membership_planner, adds_no_replica_that_is_down_or_without_hello) {
  auto peers = Peers(3);
  peers.push_back({"down", 7, seconds(1)});
  peers.push_back({"without-hello", 0, {}});
  cr_expect(!node::NextMembershipChange(Voters(3), "r0", peers).has_value());
}

// Guards against removals that lower the number of further losses that the group survives.
Test(membership_planner, removes_a_down_voter_only_from_an_even_group) {
  auto peers = Peers(6);
  peers[2].down_for = seconds(5);
  const auto change = node::NextMembershipChange(Voters(6), "r0", peers);
  cr_assert(change.has_value());
  cr_expect(change->kind == MembershipChange::Kind::kRemove);
  cr_expect(change->replica.name == "r3");
  auto odd = Peers(5);
  odd[2].down_for = seconds(5);
  cr_expect(!node::NextMembershipChange(Voters(5), "r0", odd).has_value());
  peers[2].down_for = seconds(1);
  cr_expect(!node::NextMembershipChange(Voters(6), "r0", peers).has_value());
}
