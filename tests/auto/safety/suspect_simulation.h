#pragma once

#include <cstdint>

namespace wagtailpick::safety {

/// A mechanism that a run switches off, to show that the checker notices.
enum class Disabled : std::uint8_t {
  kNothing,
  /// The owner answers before it has told the other entries.
  kTellBeforeAnswer,
  /// A suspect runs without winning the trial register.
  kTrialRegister,
  /// A trial with an unknown end doesn't count as a strike.
  kUnresolvedTrial,
  /// A lost forward to the owner doesn't count as a strike.
  kLostForward,
  /// An entry that starts doesn't ask the others what they know.
  kAskAtStart,
  /// Recent successes don't count.
  kRecentSuccess,
};

struct SuspectSimulationOptions {
  std::uint64_t seed = 0;
  Disabled disabled = Disabled::kNothing;
};

struct SuspectCounts {
  /// Upstreams taken down by one resent request, beyond two.
  std::uint64_t excess_crashes = 0;
  /// A request that other upstreams answer was blocked after the death of a single upstream.
  std::uint64_t common_blocked = 0;
  std::uint64_t crashes = 0;
  std::uint64_t trials = 0;
  std::uint64_t blocked_answers = 0;
  std::uint64_t common_answers = 0;
  std::uint64_t events = 0;

  std::uint64_t violations() const { return excess_crashes + common_blocked; }
  void Add(const SuspectCounts& other);
};

/// Runs callers that resend requests that crash upstreams, among common requests, under the faults
/// of one seed.
SuspectCounts RunSuspectSimulation(const SuspectSimulationOptions& options);

}  // namespace wagtailpick::safety
