#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "consensus/replica_key.h"

namespace wagtailpick::consensus {

/// A voter's votes and acknowledgements count towards a quorum, a learner's do not.
enum class MemberRole { kVoter, kLearner };

/// Returns the role's name in encoded memberships and logs.
std::string_view ToString(MemberRole role);

/// One replica of a membership.
struct Member {
  ReplicaKey key;
  MemberRole role = MemberRole::kVoter;

  friend bool operator==(const Member&, const Member&) = default;
};

/// The replicas of a group, with at most one incarnation of each name, sorted by name.
class Membership {
 public:
  Membership() = default;
  explicit Membership(std::vector<Member> members);

  const std::vector<Member>& members() const { return members_; }
  std::size_t voter_count() const;
  /// Number of voters in a quorum. It is 1 when there are no voters, so that no quorum is reached.
  std::size_t majority() const { return voter_count() / 2 + 1; }

  /// Returns the member with this name and incarnation, or null.
  const Member* Find(const ReplicaKey& key) const;
  /// Returns the member with this name in any incarnation, or null.
  const Member* FindName(std::string_view name) const;
  bool IsVoter(const ReplicaKey& key) const;

  /// Adds `member`, replacing the one with the same name.
  void Put(Member member);
  void Remove(std::string_view name);

  /// Encodes the membership as JSON; this is the data of a `kMembership` entry.
  std::string Encode() const;
  /// Parses what `Encode` returned; fails with `kCorrupt` on anything else.
  static base::Result<Membership> Parse(std::string_view text);

  friend bool operator==(const Membership&, const Membership&) = default;

 private:
  std::vector<Member> members_;
};

}  // namespace wagtailpick::consensus
