#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// A defect that a share simulation runs with, to verify that the check detects it.
enum class ShareFault {
  kNone,
  /// The leader grants a share to others as soon as its lease is over, without waiting for one more
  /// window.
  kNoWindowWait,
  /// The holder does not lengthen its window by the possible clock drift.
  kWindowTooShort,
  /// A share stays valid after its lease is over.
  kShareNeverExpires,
  /// The holder counts the share's lease from the reply instead of from the time of sending the
  /// renewal.
  kShareFromReply,
  /// A restarted entry continues its old session although it has lost the record of what it
  /// admitted.
  kRestartKeepsSession,
};

/// Counters of a share simulation.
struct ShareResult {
  std::uint64_t events = 0;
  std::uint64_t admitted = 0;
  /// Admissions that raised the amount in a window of real time above the cap.
  std::uint64_t exceeded = 0;
};

/// Simulates a leader that divides a cap into shares and entries that admit requests within their
/// shares. The cap counts requests for even seeds and bytes for odd ones.
ShareResult CheckShares(std::uint64_t seed, ShareFault fault = ShareFault::kNone);

}  // namespace wagtailpick::admission
