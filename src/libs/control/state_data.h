#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "control/commands.h"
#include "control/outcomes.h"
#include "control/session.h"

namespace wagtailpick::control {

/// Number of accepted versions whose answer is kept for resends.
inline constexpr std::size_t kKeptAnswers = 10'000;

/// Number of versions whose request deadlines determine the length of a quarantine.
inline constexpr std::size_t kKeptDeadlines = 64;

/// Deadlines of one accepted version.
struct VersionDeadlines {
  std::uint64_t version = 0;
  std::vector<ServiceDeadline> services;

  friend bool operator==(const VersionDeadlines&, const VersionDeadlines&) = default;
};

/// The bundle in force, and the answers and deadlines kept of earlier ones. Version 0 means that
/// there is no bundle.
struct BundleData {
  std::uint64_t version = 0;
  std::string digest;
  std::string signed_bytes;
  std::map<std::uint64_t, AcceptedBundle> answers;
  std::deque<VersionDeadlines> deadlines;

  friend bool operator==(const BundleData&, const BundleData&) = default;
};

/// Newest incarnation of one control replica.
struct ReplicaData {
  std::uint64_t incarnation = 0;
  std::string nonce;

  friend bool operator==(const ReplicaData&, const ReplicaData&) = default;
};

/// The whole state that is built from the replicated log.
struct StateData {
  std::uint64_t applied_index = 0;
  SessionId last_session = 0;
  std::uint64_t last_epoch = 0;
  BundleData bundle;
  std::map<SessionId, Session> sessions;
  std::map<UpstreamKey, Ownership> upstreams;
  std::map<std::string, ReplicaData> replicas;

  friend bool operator==(const StateData&, const StateData&) = default;
};

/// Apply one command to the state. They depend only on their arguments.
BundleOutcome Apply(StateData& state, const AcceptBundle& command);
SessionOutcome Apply(StateData& state, const OpenSession& command);
CloseOutcome Apply(StateData& state, const CloseSession& command);
OwnershipOutcome Apply(StateData& state, const GrantOwnership& command);
ReleaseOutcome Apply(StateData& state, const ReleaseOwnership& command);
ReleaseOutcome Apply(StateData& state, const RemoveUpstream& command);
ReplicaOutcome Apply(StateData& state, const RegisterReplica& command);

}  // namespace wagtailpick::control
