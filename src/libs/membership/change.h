#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailpick::membership {

/// What happened to an upstream.
enum class ChangeKind {
  kAppeared,
  /// The address announces a higher incarnation.
  kRestarted,
  /// Up again after it was draining, leaving or silent, under the same incarnation.
  kUp,
  kDraining,
  kLeaving,
  kSilent,
  kWithdrawn,
  /// Removed after a long silence.
  kForgotten,
  kSlotsChanged,
};

/// Returns the kind's name in logs.
std::string_view ToString(ChangeKind kind);

/// One change of one upstream.
struct Change {
  ChangeKind kind = ChangeKind::kAppeared;
  std::string address;
  std::string service;
  std::string place;
  std::uint64_t incarnation = 0;
};

}  // namespace wagtailpick::membership
