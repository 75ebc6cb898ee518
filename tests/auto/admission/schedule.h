#pragma once

#include <cstdint>
#include <random>

#include "event_queue.h"
#include "fault.h"

namespace wagtailpick::admission {

/// What a schedule counted.
struct CheckResult {
  std::uint64_t events = 0;
  /// Requests that upstreams ran.
  std::uint64_t runs = 0;
  std::uint64_t handovers = 0;
  std::uint64_t takeovers = 0;
  /// Runs beyond the upstream's slots.
  std::uint64_t slots_exceeded = 0;
  /// Runs at an upstream more than 2 s after it last announced itself as up.
  std::uint64_t late_work = 0;
  /// Tickets given more than 2 s after the upstream last announced itself as up.
  std::uint64_t late_tickets = 0;

  std::uint64_t violations() const { return slots_exceeded + late_work + late_tickets; }
};

/// What all parts of one schedule share.
struct Schedule {
  Schedule(std::uint64_t seed, Fault mode) : random(seed), fault(mode) {}

  /// True in `percent` of the cases.
  bool Chance(std::uint64_t percent) { return random() % 100 < percent; }

  /// Uniform in [lowest, highest].
  SimTime Between(SimTime lowest, SimTime highest) {
    return lowest +
           static_cast<SimTime>(random() % static_cast<std::uint64_t>(highest - lowest + 1));
  }

  /// Delay of a message: mostly short, sometimes long enough to arrive after later ones.
  SimTime MessageDelay() {
    return Chance(5) ? Between(30 * kMs, 600 * kMs) : Between(kMs / 5, 30 * kMs);
  }

  std::mt19937_64 random;
  Fault fault;
  EventQueue queue;
  CheckResult result;
  std::int64_t deadline_ms = 0;
};

}  // namespace wagtailpick::admission
