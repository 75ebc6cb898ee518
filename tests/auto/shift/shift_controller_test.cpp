#include "shift/shift_controller.h"

#include <criterion/criterion.h>

#include <cmath>
#include <functional>
#include <random>
#include <vector>

namespace wagtailpick::shift {
namespace {

constexpr base::Duration kMs{1'000};
constexpr std::uint32_t kShare = 100;

base::MonotonicTime At(std::int64_t milliseconds) {
  return base::MonotonicTime(milliseconds * kMs);
}

ShiftMeasurement Healthy(std::int64_t at) { return {At(at), 10 * kMs, 10 * kMs, 0.9}; }

// A controller with a share, and more requests than the share allows.
class BusyShift {
 public:
  BusyShift() { controller.SetShare(kShare, At(1'000'000'000)); }

  ShiftStep Tick(const std::optional<ShiftMeasurement>& measured, std::int64_t at) {
    for (std::uint32_t i = 0; i <= kShare; ++i) controller.TryAdmit(At(at));
    return controller.Tick(measured, At(at));
  }

  // Ticks twice a second from `from` until before `to`, in milliseconds, with healthy measurements.
  void TickHealthy(std::int64_t from, std::int64_t to) {
    for (std::int64_t at = from; at < to; at += 500) Tick(Healthy(at), at);
  }

  ShiftController controller;
};

struct Case {
  const char* name;
  std::optional<ShiftMeasurement> measured;
  StepReason reason;
  std::uint32_t level;
};

}  // namespace

// Guards against a level that is raised without a good measurement, and against one that is kept
// although the receiving region is overloaded.
Test(shift_controller, level_follows_the_measurement) {
  const std::vector<Case> cases = {
      {"healthy", Healthy(6'000), StepReason::kStepUp, 600},
      {"nothing measured", std::nullopt, StepReason::kHeldUnmeasured, 500},
      {"too old", Healthy(4'999), StepReason::kHeldUnmeasured, 500},
      {"warm value unknown", {{At(6'000), 10 * kMs, {}, 0.9}}, StepReason::kHeldUnmeasured, 500},
      {"cold caches", {{At(6'000), 14 * kMs, 10 * kMs, 0.9}}, StepReason::kHeldNearBound, 500},
      {"slots fill up", {{At(6'000), 10 * kMs, 10 * kMs, 0.24}}, StepReason::kHeldNearBound, 500},
      {"slow", {{At(6'000), 16 * kMs, 10 * kMs, 0.9}}, StepReason::kHalvedSlow, 250},
      {"full", {{At(6'000), 10 * kMs, 10 * kMs, 0.2}}, StepReason::kHalvedFull, 250},
      {"full, unknown", {{At(6'000), 10 * kMs, {}, 0.1}}, StepReason::kHalvedFull, 250},
  };
  for (const auto& test : cases) {
    BusyShift shift;
    shift.TickHealthy(0, 5'000);
    cr_assert(shift.controller.level_permille() == 500);
    const ShiftStep step = shift.Tick(test.measured, 6'000);
    cr_expect(step.reason == test.reason, "%s", test.name);
    cr_expect(step.level_permille == test.level, "%s", test.name);
  }
}

// Guards against steps less than one second apart, and against a measurement that is used twice.
Test(shift_controller, step_needs_one_second_and_a_newer_measurement) {
  BusyShift shift;
  shift.TickHealthy(0, 2'000);
  const auto level = shift.controller.level_permille();
  cr_expect(shift.Tick(Healthy(1'900), 1'900).reason == StepReason::kTooEarly);
  const ShiftMeasurement slow{At(2'500), 30 * kMs, 10 * kMs, 0.9};
  cr_expect(shift.Tick(slow, 2'500).reason == StepReason::kHalvedSlow);
  cr_expect(shift.Tick(slow, 3'500).reason == StepReason::kHeldUnmeasured);
  cr_expect(shift.controller.level_permille() == level / 2);
}

// Guards against a level that is raised without demand and then admits a burst.
Test(shift_controller, level_rises_only_with_demand_and_is_reset_without) {
  ShiftController idle;
  idle.SetShare(kShare, At(1'000'000));
  for (std::int64_t at = 0; at < 20'000; at += 500) idle.Tick(Healthy(at), At(at));
  cr_expect(idle.level_permille() == 100);
  BusyShift shift;
  shift.TickHealthy(0, 20'000);
  cr_expect(shift.controller.level_permille() == 1'000);
  cr_expect(shift.controller.Tick(Healthy(50'000), At(50'000)).reason == StepReason::kReset);
  cr_expect(shift.controller.level_permille() == 100);
}

// Guards against more admissions in some window than the share allows, in spite of changes of the
// level and cancelled admissions.
Test(shift_controller, no_window_exceeds_the_share) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    std::mt19937_64 random(seed);
    ShiftController controller;
    const auto share = static_cast<std::uint32_t>(random() % 20);
    controller.SetShare(share, At(1'000'000));
    std::vector<base::MonotonicTime> admitted;
    base::MonotonicTime now = At(1'000);
    for (int i = 0; i < 1'000; ++i) {
      now += base::Duration(random() % 40'000);
      if (controller.TryAdmit(now)) admitted.push_back(now);
      if (random() % 20 == 0) {
        controller.ForceLevel(static_cast<std::uint32_t>(random() % 1'500), now);
      }
      if (random() % 5 == 0) {
        controller.Tick(ShiftMeasurement{now, (random() % 20) * kMs, 10 * kMs, 0.5}, now);
      }
      if (random() % 10 == 0 && !admitted.empty() && admitted.back() == now) {
        controller.CancelAdmission(now);
        admitted.pop_back();
      }
    }
    for (std::size_t i = share; i < admitted.size(); ++i) {
      cr_assert(admitted[i] - admitted[i - share] >= AdmitWindow::kLength);
    }
  }
}

// Guards against a share that is used after its lease has ended.
Test(shift_controller, nothing_is_admitted_without_a_valid_share) {
  ShiftController controller;
  cr_expect(!controller.TryAdmit(At(0)));
  controller.SetShare(1, At(2'000));
  cr_expect(controller.TryAdmit(At(1'000)));
  cr_expect(!controller.TryAdmit(At(1'999)));
  cr_expect(!controller.TryAdmit(At(2'000)));
}

// Guards against a level that oscillates around the point where the receiver becomes too slow.
Test(shift_controller, settles_below_the_level_that_the_receiver_sustains) {
  for (const std::uint32_t sustainable : {150U, 330U, 550U, 950U}) {
    BusyShift shift;
    int halvings = 0;
    std::uint32_t before = 0;
    StepReason reason = StepReason::kTooEarly;
    for (std::int64_t at = 0; at < 600'000; at += 250) {
      const std::uint32_t level = shift.controller.level_permille();
      const auto p50 = level > sustainable ? 20 * kMs : 10 * kMs;
      const ShiftStep step = shift.Tick(ShiftMeasurement{At(at), p50, 10 * kMs, 0.9}, at);
      if (step.level_permille < before) ++halvings;
      before = step.level_permille;
      reason = step.reason;
    }
    cr_expect(reason == StepReason::kHeldAfterHalving);
    // Ten minutes allow about five attempts above the sustainable level: the first one and one
    // after each wait of 30, 60, 120 and 240 s.
    cr_expect(halvings <= 6, "sustainable level %u: %d halvings", sustainable, halvings);
    cr_expect(shift.controller.level_permille() <= sustainable + 100);
  }
}

// Guards against a forced shift that is raised only in steps, and against one that exceeds the
// share.
Test(shift_controller, forced_shift_starts_at_once_within_the_share) {
  BusyShift shift;
  shift.controller.ForceLevel(700, At(100));
  cr_expect(shift.controller.AdmissionLimit(At(100)) == 70);
  shift.controller.ForceLevel(5'000, At(100));
  cr_expect(shift.controller.AdmissionLimit(At(100)) == kShare);
  const ShiftMeasurement full{At(1'500), 10 * kMs, 10 * kMs, 0.1};
  cr_expect(shift.Tick(full, 1'500).reason == StepReason::kHalvedFull);
}

}  // namespace wagtailpick::shift
