#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "control/session.h"

namespace wagtailpick::control {

/// Longest time that a request of a service may run under one bundle.
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
  /// Deadlines in this bundle; the state keeps those of the last versions.
  std::vector<ServiceDeadline> deadlines;

  friend bool operator==(const AcceptBundle&, const AcceptBundle&) = default;
};

/// Opens a session, or updates the open session of the same VM and incarnation. `session.id` is
/// ignored.
struct OpenSession {
  Session session;

  friend bool operator==(const OpenSession&, const OpenSession&) = default;
};

/// Ends a session whose lease has ended or whose entry stops.
struct CloseSession {
  SessionId session = 0;

  friend bool operator==(const CloseSession&, const CloseSession&) = default;
};

/// Names an upstream.
struct UpstreamKey {
  std::string service;
  std::string address;

  friend auto operator<=>(const UpstreamKey&, const UpstreamKey&) = default;
};

/// Asks for the ownership of an upstream.
struct GrantOwnership {
  UpstreamKey upstream;
  /// Start of the upstream's process.
  std::uint64_t incarnation = 0;
  SessionId session = 0;

  friend bool operator==(const GrantOwnership&, const GrantOwnership&) = default;
};

/// Gives up the ownership of an upstream.
struct ReleaseOwnership {
  UpstreamKey upstream;
  SessionId session = 0;
  std::uint64_t epoch = 0;
  /// No request runs at the upstream, neither the owner's nor, after a quarantine, that of an
  /// earlier owner.
  bool idle = false;

  friend bool operator==(const ReleaseOwnership&, const ReleaseOwnership&) = default;
};

/// Drops what is known of an upstream without owner, once no request can run there any more.
struct RemoveUpstream {
  UpstreamKey upstream;
  std::uint64_t epoch = 0;

  friend bool operator==(const RemoveUpstream&, const RemoveUpstream&) = default;
};

/// Asks for a new incarnation of a control replica that starts with an empty disk.
struct RegisterReplica {
  std::string replica;
  /// Random number of the request; a resend with the same one gets the same incarnation.
  std::string nonce;

  friend bool operator==(const RegisterReplica&, const RegisterReplica&) = default;
};

/// One record of the replicated log.
using Command = std::variant<AcceptBundle, OpenSession, CloseSession, GrantOwnership,
                             ReleaseOwnership, RemoveUpstream, RegisterReplica>;

}  // namespace wagtailpick::control
