#pragma once

#include <string_view>

namespace wagtailpick::admission {

/// Why a request was given no slot.
enum class Refusal {
  /// Not refused.
  kNone,
  /// The bundle has no such service.
  kUnknownService,
  /// This entry does not own the upstream, or none of the pool.
  kNotOwned,
  /// The session lease is invalid, or the upstream was granted under another session.
  kNoLease,
  /// The request's deadline has passed.
  kDeadlinePassed,
  /// The deadline is later than the service allows.
  kDeadlineTooLate,
  /// Requests of an earlier owner may still run at the upstream.
  kQuarantine,
  /// The upstream announced that it drains or leaves, the bundle drains it, or it is being handed
  /// over to another entry.
  kDraining,
  /// No recent announcement of the upstream.
  kSilent,
  /// The upstream is ejected because of its error rate.
  kEjected,
  kNoFreeSlot,
  /// A shifted request would use slots that are reserved for the data centre's own callers.
  kShiftHeadroom,
};

/// Returns the refusal's name in logs, metrics and error bodies.
std::string_view ToString(Refusal refusal);

}  // namespace wagtailpick::admission
