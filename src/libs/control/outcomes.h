#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/commands.h"

namespace wagtailpick::control {

/// The answer to the submission that brought a version in.
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
  /// Another bundle has this version; the answer names the winner.
  kConflict,
  /// A higher version is in force; the answer names it.
  kSuperseded,
};

struct BundleOutcome {
  BundleVerdict verdict = BundleVerdict::kSuperseded;
  AcceptedBundle answer;

  friend bool operator==(const BundleOutcome&, const BundleOutcome&) = default;
};

enum class SessionVerdict {
  kOpened,
  /// The session was open; its draining flag, place and addresses are taken over.
  kUpdated,
  /// A later start of the VM, or of a VM with one of its addresses, has a session.
  kStale,
};

struct SessionOutcome {
  SessionVerdict verdict = SessionVerdict::kStale;
  /// The session of the VM; 0 when refused.
  SessionId session = 0;
  /// Older sessions that ended.
  std::vector<SessionId> ended;

  friend bool operator==(const SessionOutcome&, const SessionOutcome&) = default;
};

struct CloseOutcome {
  /// False when the session wasn't open.
  bool closed = false;
  /// Upstreams that lost their owner.
  std::vector<UpstreamKey> orphans;

  friend bool operator==(const CloseOutcome&, const CloseOutcome&) = default;
};

/// Ownership of one upstream.
struct Ownership {
  std::uint64_t incarnation = 0;
  /// 0 when nobody owns the upstream.
  SessionId owner = 0;
  /// Rises with every grant, over all upstreams.
  std::uint64_t epoch = 0;
  /// Requests of an earlier owner may still run: the owner leaves all slots unused for the longest
  /// deadline of the service.
  bool quarantine = false;

  friend bool operator==(const Ownership&, const Ownership&) = default;
};

enum class OwnershipVerdict {
  kGranted,
  /// The session owns the upstream already; the ownership is that of the first grant.
  kAlreadyOwned,
  /// Another open session owns it.
  kHeldByOther,
  kNoSession,
  /// The session takes no further upstreams.
  kDraining,
  /// A later start of the upstream is known.
  kStale,
};

struct OwnershipOutcome {
  OwnershipVerdict verdict = OwnershipVerdict::kNoSession;
  /// The ownership after the command; empty when the upstream isn't known.
  Ownership ownership;

  friend bool operator==(const OwnershipOutcome&, const OwnershipOutcome&) = default;
};

/// Answer to `ReleaseOwnership` and `RemoveUpstream`.
struct ReleaseOutcome {
  /// False when session or epoch isn't the current one.
  bool released = false;

  friend bool operator==(const ReleaseOutcome&, const ReleaseOutcome&) = default;
};

struct ReplicaOutcome {
  std::uint64_t incarnation = 0;
  /// A resend; the incarnation was given out before.
  bool repeated = false;

  friend bool operator==(const ReplicaOutcome&, const ReplicaOutcome&) = default;
};

/// What a command did, by the command's type.
using Outcome = std::variant<BundleOutcome, SessionOutcome, CloseOutcome, OwnershipOutcome,
                             ReleaseOutcome, ReplicaOutcome>;

/// Names of the verdicts in logs and answers.
std::string_view ToString(BundleVerdict verdict);
std::string_view ToString(SessionVerdict verdict);
std::string_view ToString(OwnershipVerdict verdict);

}  // namespace wagtailpick::control
