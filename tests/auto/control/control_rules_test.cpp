#include <criterion/criterion.h>

#include "control/control_state.h"

namespace {

using namespace wagtailpick::control;  // NOLINT(google-build-using-namespace)

// Applies a command at the next index.
template <typename T>
T Apply(ControlState& state, const Command& command) {
  return std::get<T>(state.Apply(state.applied_index() + 1, command).value());
}

AcceptBundle Bundle(std::uint64_t version, const std::string& digest) {
  return {version, digest, "bytes", {{"payment", static_cast<std::uint32_t>(version)}}};
}

OpenSession Open(const std::string& vm, std::uint64_t incarnation, const std::string& address) {
  return {{0, vm, incarnation, "mvd-1", {address, 80}, {address, 81}, false}};
}

struct BundleCase {
  const char* name;
  AcceptBundle bundle;
  BundleVerdict verdict;
  std::uint64_t answer_index;
};

const BundleCase bundle_cases[] = {
    {"first", Bundle(3, "a"), BundleVerdict::kAccepted, 1},
    {"resend", Bundle(3, "a"), BundleVerdict::kRepeated, 1},
    {"equal version, other digest", Bundle(3, "b"), BundleVerdict::kConflict, 1},
    {"lower version", Bundle(2, "c"), BundleVerdict::kSuperseded, 1},
    {"higher version", Bundle(7, "d"), BundleVerdict::kAccepted, 5},
    {"resend of an older one", Bundle(3, "a"), BundleVerdict::kRepeated, 1},
    {"older version, other digest", Bundle(3, "b"), BundleVerdict::kSuperseded, 5},
    {"version 0", Bundle(0, "e"), BundleVerdict::kSuperseded, 5},
};

const UpstreamKey upstream{"payment", "10.0.0.1:80"};

}  // namespace

// Guards against a resend that gets another answer than the first submission, and against two
// accepted bundles with one version.
Test(control_rules, bundles_follow_the_acceptance_rules) {
  ControlState state;
  for (const auto& test : bundle_cases) {
    const auto outcome = Apply<BundleOutcome>(state, test.bundle);
    cr_assert(outcome.verdict == test.verdict, "%s: %s", test.name,
              std::string(ToString(outcome.verdict)).c_str());
    cr_assert_eq(outcome.answer.index, test.answer_index, "%s", test.name);
  }
  cr_assert_eq(state.bundle().version, 7U);
}

// Guards against memory that grows with every version, and against answers that are dropped too
// early.
Test(control_rules, keeps_10000_answers_and_64_deadlines) {
  ControlState state;
  for (std::uint64_t version = 10'001; version >= 1; --version) {
    const std::uint64_t next = 10'002 - version;
    (void)Apply<BundleOutcome>(state, AcceptBundle{next, "d", "", {{"s", std::uint32_t(version)}}});
  }
  cr_assert(Apply<BundleOutcome>(state, Bundle(1, "d")).verdict == BundleVerdict::kSuperseded);
  cr_assert(Apply<BundleOutcome>(state, Bundle(2, "d")).verdict == BundleVerdict::kRepeated);
  // The deadlines fall by 1 with each version, from 10,001 to 1.
  cr_assert_eq(state.LongestDeadlineMs("s"), 64U);
}

// Guards against two open sessions of one VM or address, and against a delayed command of an older
// incarnation that ends a newer session.
Test(control_rules, a_later_start_ends_the_older_session_and_orphans_its_upstreams) {
  ControlState state;
  const auto first = Apply<SessionOutcome>(state, Open("entry-1", 1, "10.1.0.1"));
  (void)Apply<OwnershipOutcome>(state, GrantOwnership{upstream, 1, first.session});
  const auto resend = Apply<SessionOutcome>(state, Open("entry-1", 1, "10.1.0.1"));
  cr_assert(resend.verdict == SessionVerdict::kUpdated && resend.session == first.session);
  const auto second = Apply<SessionOutcome>(state, Open("entry-1", 2, "10.1.0.2"));
  cr_assert(second.ended == std::vector{first.session});
  const auto third = Apply<SessionOutcome>(state, Open("entry-9", 3, "10.1.0.2"));
  cr_assert(third.ended == std::vector{second.session}, "same address, other name");
  const auto stale = Apply<SessionOutcome>(state, Open("entry-9", 2, "10.1.0.9"));
  cr_assert(stale.verdict == SessionVerdict::kStale);
  cr_assert_eq(state.sessions().size(), 1U);
  const auto owned = Apply<OwnershipOutcome>(state, GrantOwnership{upstream, 1, third.session});
  cr_assert(owned.verdict == OwnershipVerdict::kGranted && owned.ownership.quarantine);
}

// Guards against a missing quarantine while an earlier owner's requests may still run.
Test(control_rules, only_an_idle_hand_over_or_a_restart_skips_the_quarantine) {
  for (const bool idle : {false, true}) {
    for (const std::uint64_t incarnation : {1U, 2U}) {
      ControlState state;
      const auto old_owner = Apply<SessionOutcome>(state, Open("entry-1", 1, "10.1.0.1")).session;
      const auto new_owner = Apply<SessionOutcome>(state, Open("entry-2", 1, "10.1.0.2")).session;
      const auto grant = Apply<OwnershipOutcome>(state, GrantOwnership{upstream, 1, old_owner});
      const std::uint64_t epoch = grant.ownership.epoch;
      cr_assert(!grant.ownership.quarantine);
      const auto early = Apply<OwnershipOutcome>(state, GrantOwnership{upstream, 1, new_owner});
      cr_assert(early.verdict == OwnershipVerdict::kHeldByOther);
      const ReleaseOwnership release{upstream, old_owner, epoch, idle};
      cr_assert(Apply<ReleaseOutcome>(state, release).released);
      const auto next =
          Apply<OwnershipOutcome>(state, GrantOwnership{upstream, incarnation, new_owner});
      cr_assert_eq(next.ownership.quarantine, !idle && incarnation == 1);
      cr_assert_gt(next.ownership.epoch, epoch);
      cr_assert(!Apply<ReleaseOutcome>(state, release).released, "delayed release");
    }
  }
}

// Guards against a replica that gets two incarnations because the first answer was lost and it sent
// the request again.
Test(control_rules, a_resent_registration_gets_the_same_incarnation) {
  ControlState state;
  cr_assert_eq(Apply<ReplicaOutcome>(state, RegisterReplica{"r1", "x"}).incarnation, 1U);
  cr_assert_eq(Apply<ReplicaOutcome>(state, RegisterReplica{"r1", "x"}).incarnation, 1U);
  cr_assert_eq(Apply<ReplicaOutcome>(state, RegisterReplica{"r1", "y"}).incarnation, 2U);
  cr_assert_eq(state.ReplicaIncarnation("r1"), 2U);
  cr_assert_eq(state.ReplicaIncarnation("r2"), 0U);
}
