#pragma once

namespace wagtailpick::admission {

/// A mechanism that a schedule runs without, so that its check can be seen to fail.
enum class Fault {
  kNone,
  /// A new owner starts with free slots although the earlier owner's requests may run.
  kNoQuarantine,
  /// The holder counts its lease from the reply instead of the sending.
  kLeaseFromReply,
  /// The holder never stops by its own clock.
  kLeaseNeverEnds,
  /// The upstream runs requests whose deadline has passed.
  kExpiredRequestsRun,
  /// A timeout or lost answer frees the slot at once.
  kDoubtFreesSlot,
  /// A new incarnation frees all slots and ends the quarantine.
  kRestartFreesSlots,
  /// An upstream that isn't idle is handed over as idle.
  kBusyHandover,
  /// Handing over names no grant, so that a late message ends a later one.
  kHandoverWithoutGrantId,
  /// The age of an announcement counts from its receipt.
  kAgeFromReceipt,
  /// The upstream doesn't check by when a request has to start.
  kNoStartBy,
};

}  // namespace wagtailpick::admission
