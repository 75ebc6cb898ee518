#include "control/control_state.h"

#include <criterion/criterion.h>

#include "session_simulation.h"
#include "state_run.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::control::AcceptBundle;
using wagtailpick::control::ControlState;
using wagtailpick::control::OpenSession;
using wagtailpick::control::RunState;
using wagtailpick::control::Session;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr int kCommands = 300;

}  // namespace

// Guards against wrong outcomes, accepted bundles that are reverted or lost, versions for which two
// bundles are accepted, and epochs that are used twice.
Test(control_state, agrees_with_the_naive_implementation) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto tally = RunState(seed, kCommands);
    cr_assert_eq(tally.differences, 0U, "seed %lu", seed);
    cr_assert_eq(tally.reverts, 0U, "seed %lu", seed);
    cr_assert_eq(tally.two_winners, 0U, "seed %lu", seed);
    cr_assert_eq(tally.violations(), 0U, "seed %lu", seed);
  }
}

// Guards against a replica that starts from a damaged snapshot.
Test(control_state, rejects_a_snapshot_with_a_flipped_bit_or_truncation) {
  ControlState state;
  Session session;
  session.vm = "entry-1";
  cr_assert(!state.Apply(1, AcceptBundle{1, "digest", "bytes", {{"s", 100}}}).has_error());
  cr_assert(!state.Apply(2, OpenSession{session}).has_error());
  const std::string bytes = state.EncodeSnapshot();
  cr_assert(ControlState::DecodeSnapshot(bytes).value() == state);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] ^= 1;
    const auto flipped = ControlState::DecodeSnapshot(damaged);
    cr_assert(flipped.has_error() && flipped.error().code == ErrorCode::kCorrupt, "%zu", at);
    const auto truncated = ControlState::DecodeSnapshot(bytes.substr(0, at));
    cr_assert(truncated.has_error() && truncated.error().code == ErrorCode::kCorrupt, "%zu", at);
  }
}

// Guards against a log record that is applied twice after a restart.
Test(control_state, rejects_a_record_at_an_applied_index) {
  ControlState state;
  cr_assert(!state.Apply(5, AcceptBundle{1, "digest", "bytes", {}}).has_error());
  cr_assert(state.Apply(5, AcceptBundle{2, "digest", "bytes", {}}).has_error());
  cr_assert_eq(state.bundle().version, 1U);
}
