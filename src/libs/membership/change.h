#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailpick::membership {

/// Kind of a change to an upstream.
enum class ChangeKind {
  kAppeared,
  /// A higher incarnation was announced at the address.
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

/// A change to one upstream.
struct Change {
  ChangeKind kind = ChangeKind::kAppeared;
  std::string address;
  std::string service;
  std::string place;
  std::uint64_t incarnation = 0;
};

}  // namespace wagtailpick::membership
