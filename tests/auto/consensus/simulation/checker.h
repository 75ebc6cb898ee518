#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/output.h"

namespace wagtailpick::consensus::simulation {

enum class Violation {
  kEntryLost,
  kTwoLeaders,
  kDivergence,
  kTwoLeases,
  kAppliedBackwards,
  /// A lease holder whose commit index is below a committed entry.
  kStaleLease,
  /// A replica stopped itself, or failed to start, without a failed sync.
  kStopped,
  /// The recovered group accepts no proposals, or does not bring all members up to date.
  kStuck,
};
constexpr std::size_t kViolationKinds = 8;

std::string_view ToString(Violation violation);

/// The state machine that the simulated replicas apply: a digest of all entries so far.
struct AppliedState {
  std::uint64_t index = 0;
  std::uint64_t digest = 0;

  void Apply(const Entry& entry);
  std::string Encode() const;
  static AppliedState Decode(const std::string& text);
};

/// Compares the replicas with a single-copy log. The first replica that applies an entry determines
/// what all others must apply at that index.
class Checker {
 public:
  void OnLeader(std::uint64_t term, const ReplicaKey& leader);
  void OnCommitted(AppliedState& applied, const Entry& entry);
  void OnRestore(AppliedState& applied, const Snapshot& snapshot);
  /// Checks the number of replicas that hold the lease, and the lowest commit index among them.
  void OnLeases(std::size_t leases, std::uint64_t commit);
  void Report(Violation violation) { ++counts_[static_cast<std::size_t>(violation)]; }

  std::uint64_t committed() const { return log_.size(); }
  /// The membership in the last committed membership entry.
  const Membership& membership() const { return membership_; }
  void SetMembership(Membership membership) { membership_ = std::move(membership); }
  std::size_t count(Violation violation) const {
    return counts_[static_cast<std::size_t>(violation)];
  }
  std::size_t total() const;

 private:
  std::vector<Entry> log_;
  std::vector<std::uint64_t> digests_;
  Membership membership_;
  std::map<std::uint64_t, ReplicaKey> leaders_;
  std::array<std::size_t, kViolationKinds> counts_{};
};

}  // namespace wagtailpick::consensus::simulation
