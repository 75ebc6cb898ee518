#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// A rule that a share schedule runs without, so that its check can be seen to fail.
enum class ShareFault {
  kNone,
  /// The leader grants a share again when its lease is over, without waiting one window more.
  kNoWindowWait,
  /// The holder measures the window without the clock rate bound.
  kWindowTooShort,
  /// The share of a lease that is over stays valid.
  kShareNeverExpires,
  /// The holder counts the share's time from the reply instead of the sending.
  kShareFromReply,
  /// A restarted entry, which has forgotten what it admitted, goes on in its old session.
  kRestartKeepsSession,
};

/// What a share schedule counted.
struct ShareResult {
  std::uint64_t events = 0;
  std::uint64_t admitted = 0;
  /// Admissions that brought a window of true time above the cap.
  std::uint64_t exceeded = 0;
};

/// Runs one seeded schedule of a leader that divides a cap and entries that admit requests by their
/// shares. Half the seeds count requests, half bytes.
ShareResult CheckShares(std::uint64_t seed, ShareFault fault = ShareFault::kNone);

}  // namespace wagtailpick::admission
