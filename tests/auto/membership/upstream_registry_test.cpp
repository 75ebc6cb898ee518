#include "membership/upstream_registry.h"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <vector>

namespace wagtailpick::membership {

namespace {

constexpr std::int64_t kStartMs = 1'700'000'000'000;

LocalTime At(std::int64_t ms) {
  return {kStartMs + ms, base::MonotonicTime(std::chrono::milliseconds(90'000 + ms))};
}

Announcement Make(std::int64_t incarnation, std::int64_t sequence, const std::string& state,
                  std::int64_t sent_ms, const std::string& address = "127.0.0.1:9000") {
  return Announcement::Create({"payment", address, "mvd-1", state, incarnation, sequence, 3, 330, 2,
                               kStartMs + sent_ms})
      .value();
}

/// An announcement and the expected result.
struct Step {
  std::int64_t at_ms;
  std::int64_t sent_ms;
  std::int64_t incarnation;
  std::int64_t sequence;
  std::string state;
  ApplyStatus status;
  std::vector<ChangeKind> changes;
  bool gets_work;
};

void RunSteps(const std::vector<Step>& steps) {
  UpstreamRegistry registry;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const Step& step = steps[i];
    const LocalTime now = At(step.at_ms);
    const auto applied =
        registry.Apply(Make(step.incarnation, step.sequence, step.state, step.sent_ms), now);
    cr_expect(applied.status == step.status, "step %zu: %s", i,
              std::string(ToString(applied.status)).c_str());
    cr_assert(applied.changes.size() == step.changes.size(), "step %zu", i);
    for (std::size_t j = 0; j < step.changes.size(); ++j) {
      cr_expect(applied.changes[j].kind == step.changes[j], "step %zu", i);
    }
    const Upstream* upstream = registry.Find("127.0.0.1:9000");
    const bool gets_work = upstream != nullptr && upstream->MayGetNewWork(now);
    cr_expect(gets_work == step.gets_work, "step %zu", i);
  }
}

}  // namespace

// Guards against a delayed, duplicate or reordered announcement that restores an older state.
Test(upstream_registry, ignores_older_announcements) {
  using enum ApplyStatus;
  using enum ChangeKind;
  RunSteps({
      {0, 0, 2, 5, "up", kApplied, {kAppeared}, true},
      {10, 0, 2, 5, "up", kOldSequence, {}, true},
      {500, 500, 2, 7, "leaving", kApplied, {kLeaving}, false},
      {600, 400, 2, 6, "up", kOldSequence, {}, false},
      {700, 600, 1, 99, "up", kOldIncarnation, {}, false},
      {900, 900, 3, 1, "up", kApplied, {kRestarted}, true},
      {950, 940, 2, 8, "leaving", kOldIncarnation, {}, true},
      {1'000, 990, 3, 2, "draining", kApplied, {kDraining}, false},
      {1'100, 1'090, 3, 3, "up", kApplied, {kUp}, true},
  });
}

// Guards against an announcement that was delayed by a paused entry and is treated as fresh.
Test(upstream_registry, age_is_measured_from_sending) {
  using enum ApplyStatus;
  using enum ChangeKind;
  RunSteps({
      {2'000, 0, 1, 1, "up", kTooOld, {}, false},
      {2'100, 2'000, 1, 2, "up", kApplied, {kAppeared}, true},
      {5'000, 2'500, 1, 3, "up", kApplied, {kSilent}, false},
      {5'100, 5'050, 1, 4, "up", kApplied, {kUp}, true},
      {5'200, 5'301, 1, 5, "up", kClockAhead, {}, true},
  });
}

// Guards against new work for a silent upstream, and against the use of a stale load.
Test(upstream_registry, silent_upstream_gets_no_work_and_reports_no_load) {
  UpstreamRegistry registry;
  registry.Apply(Make(1, 1, "up", 0), At(0));
  registry.Apply(Make(1, 1, "leaving", 0, "127.0.0.1:9001"), At(0));
  const Upstream* upstream = registry.Find("127.0.0.1:9000");
  cr_expect(upstream->MayGetNewWork(At(1'899)));
  cr_expect(upstream->ReportedLoad(At(1'899)) == 2u);
  cr_expect(!upstream->MayGetNewWork(At(1'900)),
            "the last 100 ms are reserved for wall clock skew");
  cr_expect(!upstream->ReportedLoad(At(1'900)).has_value());
  const LocalTime stepped_back{kStartMs, At(2'000).monotonic};
  cr_expect(!upstream->MayGetNewWork(stepped_back));
  const auto silent = registry.Tick(At(1'900));
  cr_assert(silent.size() == 2);
  cr_expect(silent[0].kind == ChangeKind::kSilent);
  cr_expect(silent[1].kind == ChangeKind::kWithdrawn);
  cr_expect(registry.Tick(At(2'000)).empty(), "a change is reported once");
  cr_expect(registry.Tick(At(60'000)).size() == 2);
  cr_expect(registry.size() == 0);
  cr_expect(registry.Apply(Make(1, 2, "up", 100), At(60'100)).status == ApplyStatus::kTooOld);
}

// Guards against unbounded memory, and against two services with the same address.
Test(upstream_registry, rejects_upstreams_above_the_limit_and_conflicts) {
  UpstreamRegistry registry({.max_upstreams = 1});
  registry.Apply(Make(1, 1, "up", 0), At(0));
  cr_expect(registry.Apply(Make(1, 1, "up", 0, "127.0.0.1:9001"), At(0)).status ==
            ApplyStatus::kFull);
  const auto other = Announcement::Create(
      {"listings", "127.0.0.1:9000", "mvd-1", "up", 1, 2, 3, 330, 0, kStartMs});
  cr_expect(registry.Apply(other.value(), At(0)).status == ApplyStatus::kConflict);
}

}  // namespace wagtailpick::membership
