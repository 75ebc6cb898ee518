#pragma once

#include <string_view>

namespace wagtailpick::admission {

/// Why no slot was given.
enum class Refusal {
  kNone,
  kUnknownService,
  kNotOwned,
  kNoLease,
  kDeadlinePassed,
  /// Later than the service allows.
  kDeadlineTooLate,
  kQuarantine,
  /// Draining, leaving, drained by the bundle, or being handed over.
  kDraining,
  kSilent,
  kEjected,
  kNoFreeSlot,
  /// A shifted request would take slots that are kept for the place's own callers.
  kShiftHeadroom,
};

/// Returns the refusal's name in logs, metrics and error bodies.
std::string_view ToString(Refusal refusal);

}  // namespace wagtailpick::admission
