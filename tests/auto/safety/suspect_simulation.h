#pragma once

#include <cstdint>

namespace wagtailpick::safety {

/// A mechanism that a run disables, to show that the checker detects the violation.
enum class Disabled : std::uint8_t {
  kNothing,
  /// The owner answers without broadcasting its reports to the other entries.
  kBroadcastBeforeAnswer,
  /// A suspect runs without holding the trial register.
  kTrialRegister,
  /// A trial with an unknown outcome does not count as a strike.
  kUnresolvedTrial,
  /// A lost forward to the owner does not count as a strike.
  kLostForward,
  /// An entry that starts does not fetch the reports of the others.
  kFetchAtStart,
  /// Successes are not recorded.
  kRecentSuccess,
};

struct SuspectSimulationOptions {
  std::uint64_t seed = 0;
  Disabled disabled = Disabled::kNothing;
};

/// Events counted in one run or summed over several.
struct SuspectCounts {
  /// Upstreams that one resent request crashed beyond the permitted two.
  std::uint64_t excess_crashes = 0;
  /// Blocked copies of the common request, which other upstreams answer, after at most one crash.
  std::uint64_t common_blocked = 0;
  std::uint64_t crashes = 0;
  std::uint64_t trials = 0;
  std::uint64_t blocked_answers = 0;
  std::uint64_t common_answers = 0;
  std::uint64_t events = 0;

  /// Violations of the invariants; must be 0.
  std::uint64_t violations() const { return excess_crashes + common_blocked; }
  void Add(const SuspectCounts& other);
};

/// Simulates callers that resend requests which crash upstreams, callers with a common request, and
/// the faults of one seed. Returns what was counted.
SuspectCounts RunSuspectSimulation(const SuspectSimulationOptions& options);

}  // namespace wagtailpick::safety
