#pragma once

namespace wagtailpick::admission {

/// A defect that a simulation runs with, to verify that the checks detect it.
enum class Fault {
  kNone,
  /// A new owner uses the slots at once although requests of the earlier owner may still run.
  kNoQuarantine,
  /// The holder counts its lease from the reply instead of from the time of sending the renewal.
  kLeaseFromReply,
  /// The holder never ends its lease by its own clock.
  kLeaseNeverEnds,
  /// The upstream runs requests whose deadline has passed.
  kExpiredRequestsRun,
  /// A timeout or a lost answer frees the slot although the request may still run.
  kInDoubtFreesSlot,
  /// A new incarnation frees all slots and ends the quarantine.
  kRestartFreesSlots,
  /// An upstream is handed over as idle while requests may still run there.
  kBusyHandover,
  /// The handover message carries no grant id, so that a late copy ends a later grant.
  kHandoverWithoutGrantId,
  /// The age of an announcement counts from its receipt instead of its sending.
  kAgeFromReceipt,
  /// The upstream does not check the latest start time of a request.
  kNoStartBy,
};

}  // namespace wagtailpick::admission
