#pragma once

#include <cstdint>
#include <random>

#include "event_queue.h"
#include "fault.h"

namespace wagtailpick::admission {

/// Counters of a simulation.
struct CheckResult {
  std::uint64_t events = 0;
  /// Requests run by upstreams.
  std::uint64_t runs = 0;
  /// Ownerships ended because the owner handed the upstream over idle.
  std::uint64_t handovers = 0;
  /// Ownerships ended with the owner's session.
  std::uint64_t takeovers = 0;
  /// Requests run beyond the upstream's slots.
  std::uint64_t slots_exceeded = 0;
  /// Requests started more than 2 s after the upstream last announced the state "up".
  std::uint64_t late_work = 0;
  /// Tickets given out more than 2 s after the upstream last announced the state "up".
  std::uint64_t late_tickets = 0;

  std::uint64_t violations() const { return slots_exceeded + late_work + late_tickets; }
};

/// State shared by all parts of a simulation. A schedule is the sequence of events that a seed
/// produces.
struct Schedule {
  Schedule(std::uint64_t seed, Fault injected_fault) : random(seed), fault(injected_fault) {}

  /// Returns true with a probability of `percent`.
  bool Chance(std::uint64_t percent) { return random() % 100 < percent; }

  /// Returns a uniformly distributed time in [lowest, highest].
  SimTime Between(SimTime lowest, SimTime highest) {
    return lowest +
           static_cast<SimTime>(random() % static_cast<std::uint64_t>(highest - lowest + 1));
  }

  /// Returns a random message delay, occasionally long enough for later messages to overtake.
  SimTime MessageDelay() {
    return Chance(5) ? Between(30 * kMs, 600 * kMs) : Between(kMs / 5, 30 * kMs);
  }

  std::mt19937_64 random;
  Fault fault;
  EventQueue queue;
  CheckResult result;
  /// Maximum deadline of requests, in milliseconds from their arrival.
  std::int64_t deadline_ms = 0;
};

}  // namespace wagtailpick::admission
