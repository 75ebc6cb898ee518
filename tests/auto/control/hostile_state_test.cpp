#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/random_id.h"
#include "control/command_codec.h"
#include "control/state_codec.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"
#include "testing/number_fields.h"

namespace {

using namespace wagtailpick;           // NOLINT(google-build-using-namespace)
using namespace wagtailpick::control;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::MessageMutator;

/// Changed commands and snapshots of one run; takes under a second.
constexpr std::uint64_t kMutations = 10'000;
constexpr std::size_t kDigestDigits = 64;

Session SampleSession() {
  return {5, "vm-1", ~0ULL, "mvd-1", {"10.0.0.1", 80}, {"::1", 65'535}, true};
}

std::vector<Command> SampleCommands() {
  return {AcceptBundle{7, "digest", std::string("\0\xff", 2), {{"payment", 4'294'967'295U}}},
          OpenSession{SampleSession()},
          CloseSession{~0ULL},
          GrantOwnership{{"payment", "10.0.0.1:80"}, 3, 4},
          ReleaseOwnership{{"payment", "10.0.0.1:80"}, 3, 4, true},
          RemoveUpstream{{"payment", "10.0.0.1:80"}, 9},
          RegisterReplica{"replica-1", "nonce"}};
}

StateData SampleState() {
  StateData state;
  state.applied_index = 9;
  state.last_session = 5;
  state.last_epoch = ~0ULL;
  state.bundle = {7, "digest", std::string("\0\xff", 2), {}, {}};
  state.bundle.answers[7] = {7, "digest", 3};
  state.bundle.deadlines.push_back({7, {{"payment", 2'000}}});
  state.sessions.emplace(5, SampleSession());
  state.upstreams[{"payment", "10.0.0.1:80"}] = {1, 5, 2, true};
  state.replicas["replica-1"] = {3, "nonce"};
  return state;
}

/// Returns the body of a snapshot with its digest in front.
std::string Seal(const std::string& body) { return base::DigestHex(body) + body; }

std::string ToCbor(const json& row) {
  const auto bytes = json::to_cbor(row);
  return {bytes.begin(), bytes.end()};
}

/// Expects that each changed number of `row` is refused, or that it is read as written.
template <typename ReadBack>
void CheckNumbers(json row, const ReadBack& read_back) {
  std::vector<json*> numbers;
  testing::CollectNumbers(row, numbers);
  for (auto* number : numbers) {
    const json original = *number;
    for (const auto& value : testing::LimitValues()) {
      *number = value;
      const auto read = read_back(ToCbor(row));
      if (read.empty()) continue;
      json read_row = json::from_cbor(read);
      // A command of another type leaves the rest of a longer row unread.
      for (auto at = read_row.size(); at < row.size(); ++at) read_row.push_back(row[at]);
      cr_expect(read_row.dump() == row.dump(), "%s read as %s", row.dump().c_str(),
                read_row.dump().c_str());
    }
    *number = original;
  }
}

}  // namespace

// Guards against a log record that ends the process, or that is read as a command which can't be
// written again.
Test(hostile_state, command_codec_survives_changed_commands) {
  MessageMutator mutator(testing::MutationSeed());
  const auto samples = SampleCommands();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto decoded =
        DecodeCommand(mutator.Pick(8) == 0
                          ? mutator.RandomBytes(64)
                          : mutator.Mutate(EncodeCommand(samples[mutator.Pick(samples.size())])));
    if (!decoded) {
      cr_expect(decoded.error().code == base::ErrorCode::kCorrupt, "command %lu", i);
      continue;
    }
    const auto again = DecodeCommand(EncodeCommand(decoded.value()));
    cr_expect(again && again.value() == decoded.value(), "command %lu", i);
  }
}

// Guards against a number of a command that is read as another one.
Test(hostile_state, command_codec_reads_each_number_as_written_or_refuses_it) {
  for (const auto& command : SampleCommands()) {
    CheckNumbers(json::from_cbor(EncodeCommand(command)), [](const std::string& bytes) {
      const auto decoded = DecodeCommand(bytes);
      return decoded ? EncodeCommand(decoded.value()) : std::string();
    });
  }
}

// Guards against a snapshot whose bytes don't match its digest and that is accepted all the same.
Test(hostile_state, state_codec_refuses_all_changes_under_the_digest) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = EncodeState(SampleState());
  cr_assert(DecodeState(sample).value() == SampleState());
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto changed = mutator.Mutate(sample);
    cr_expect(changed == sample || !DecodeState(changed), "snapshot %lu", i);
  }
}

// Guards against a snapshot with a fitting digest that ends the process, or that is read as a state
// which can't be written again.
Test(hostile_state, state_codec_survives_changed_states) {
  MessageMutator mutator(testing::MutationSeed());
  const auto body = EncodeState(SampleState()).substr(kDigestDigits);
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto decoded = DecodeState(Seal(mutator.Mutate(body)));
    if (!decoded) {
      cr_expect(decoded.error().code == base::ErrorCode::kCorrupt, "snapshot %lu", i);
      continue;
    }
    const auto again = DecodeState(EncodeState(decoded.value()));
    cr_expect(again && again.value() == decoded.value(), "snapshot %lu", i);
  }
}

// Guards against a number of a snapshot that is read as another one.
Test(hostile_state, state_codec_reads_each_number_as_written_or_refuses_it) {
  const auto body = EncodeState(SampleState()).substr(kDigestDigits);
  CheckNumbers(json::from_cbor(body), [](const std::string& bytes) {
    const auto decoded = DecodeState(Seal(bytes));
    return decoded ? EncodeState(decoded.value()).substr(kDigestDigits) : std::string();
  });
}
