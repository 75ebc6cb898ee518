#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "control/session.h"

namespace wagtailpick::control {

/// Request deadline of a service in one bundle, in milliseconds.
struct ServiceDeadline {
  std::string service;
  std::uint32_t deadline_ms = 0;

  friend bool operator==(const ServiceDeadline&, const ServiceDeadline&) = default;
};

/// Proposes a signed bundle whose signature and content were checked before.
struct AcceptBundle {
  std::uint64_t version = 0;
  /// Digest of `signed_bytes`.
  std::string digest;
  std::string signed_bytes;
  /// Deadlines in this bundle; the state keeps those of the last `kKeptDeadlines` versions.
  std::vector<ServiceDeadline> deadlines;

  friend bool operator==(const AcceptBundle&, const AcceptBundle&) = default;
};

/// Opens a session, or updates the open session of the same VM and incarnation. `session.id` is not
/// used.
struct OpenSession {
  Session session;

  friend bool operator==(const OpenSession&, const OpenSession&) = default;
};

/// Closes a session whose lease has expired or whose entry stops.
struct CloseSession {
  SessionId session = 0;

  friend bool operator==(const CloseSession&, const CloseSession&) = default;
};

/// Identifies an upstream.
struct UpstreamKey {
  std::string service;
  std::string address;

  friend auto operator<=>(const UpstreamKey&, const UpstreamKey&) = default;
};

/// Requests ownership of an upstream.
struct GrantOwnership {
  UpstreamKey upstream;
  /// Incarnation of the upstream's process.
  std::uint64_t incarnation = 0;
  SessionId session = 0;

  friend bool operator==(const GrantOwnership&, const GrantOwnership&) = default;
};

/// Gives up the ownership of an upstream.
struct ReleaseOwnership {
  UpstreamKey upstream;
  SessionId session = 0;
  std::uint64_t epoch = 0;
  /// True when no request runs at the upstream: none of the owner's and, as any quarantine is over,
  /// none of an earlier owner's.
  bool idle = false;

  friend bool operator==(const ReleaseOwnership&, const ReleaseOwnership&) = default;
};

/// Removes the record of an upstream without owner, once no request can still run there.
struct RemoveUpstream {
  UpstreamKey upstream;
  std::uint64_t epoch = 0;

  friend bool operator==(const RemoveUpstream&, const RemoveUpstream&) = default;
};

/// Requests a new incarnation for a control replica that starts with an empty disk.
struct RegisterReplica {
  std::string replica;
  /// Random ID of the request; a resend with the same nonce gets the same incarnation.
  std::string nonce;

  friend bool operator==(const RegisterReplica&, const RegisterReplica&) = default;
};

/// One record of the replicated log.
using Command = std::variant<AcceptBundle, OpenSession, CloseSession, GrantOwnership,
                             ReleaseOwnership, RemoveUpstream, RegisterReplica>;

}  // namespace wagtailpick::control
