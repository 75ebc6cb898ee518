#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/commands.h"

namespace wagtailpick::control {

/// Answer to the submission by which a version was accepted.
struct AcceptedBundle {
  std::uint64_t version = 0;
  std::string digest;
  /// Log index of the accepted record.
  std::uint64_t index = 0;

  friend bool operator==(const AcceptedBundle&, const AcceptedBundle&) = default;
};

enum class BundleVerdict {
  kAccepted,
  /// The same bundle was accepted before; the answer is that of the first time.
  kRepeated,
  /// Another bundle with this version is in force; the answer is for that bundle.
  kConflict,
  /// A higher version is in force; the answer is for that version.
  kSuperseded,
};

struct BundleOutcome {
  BundleVerdict verdict = BundleVerdict::kSuperseded;
  AcceptedBundle answer;

  friend bool operator==(const BundleOutcome&, const BundleOutcome&) = default;
};

enum class SessionVerdict {
  kOpened,
  /// The session was open; its draining flag, place and addresses were updated.
  kUpdated,
  /// An equal or higher incarnation of the VM, or of a VM with one of its addresses, has a session.
  kStale,
};

struct SessionOutcome {
  SessionVerdict verdict = SessionVerdict::kStale;
  /// The session of the VM; 0 when refused.
  SessionId session = 0;
  /// Older sessions that this one replaced.
  std::vector<SessionId> ended;

  friend bool operator==(const SessionOutcome&, const SessionOutcome&) = default;
};

struct CloseOutcome {
  /// False when the session was not open.
  bool closed = false;
  /// Upstreams that lost their owner.
  std::vector<UpstreamKey> orphans;

  friend bool operator==(const CloseOutcome&, const CloseOutcome&) = default;
};

/// Ownership of one upstream.
struct Ownership {
  std::uint64_t incarnation = 0;
  /// 0 when the upstream has no owner.
  SessionId owner = 0;
  /// Number of the grant; increases with every grant, over all upstreams.
  std::uint64_t epoch = 0;
  /// True while requests of an earlier owner may still run. The owner must then leave all slots
  /// unused for the longest deadline of the service.
  bool quarantine = false;

  friend bool operator==(const Ownership&, const Ownership&) = default;
};

enum class OwnershipVerdict {
  kGranted,
  /// The session already owns the upstream; the ownership is that of the earlier grant.
  kAlreadyOwned,
  /// Another open session owns it.
  kHeldByOther,
  kNoSession,
  /// The session is draining and gets no further upstreams.
  kDraining,
  /// A higher incarnation of the upstream is known.
  kStale,
};

struct OwnershipOutcome {
  OwnershipVerdict verdict = OwnershipVerdict::kNoSession;
  /// Ownership after the command; default-constructed when the upstream is not known.
  Ownership ownership;

  friend bool operator==(const OwnershipOutcome&, const OwnershipOutcome&) = default;
};

/// Answer to `ReleaseOwnership` and `RemoveUpstream`.
struct ReleaseOutcome {
  /// False when the session or the epoch is not the current one.
  bool released = false;

  friend bool operator==(const ReleaseOutcome&, const ReleaseOutcome&) = default;
};

struct ReplicaOutcome {
  std::uint64_t incarnation = 0;
  /// True for a resend; the incarnation was assigned before.
  bool repeated = false;

  friend bool operator==(const ReplicaOutcome&, const ReplicaOutcome&) = default;
};

/// Result of a command, by the command's type.
using Outcome = std::variant<BundleOutcome, SessionOutcome, CloseOutcome, OwnershipOutcome,
                             ReleaseOutcome, ReplicaOutcome>;

/// Returns the verdict's name in logs and answers.
std::string_view ToString(BundleVerdict verdict);
std::string_view ToString(SessionVerdict verdict);
std::string_view ToString(OwnershipVerdict verdict);

}  // namespace wagtailpick::control
