#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/message_codec.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"
#include "testing/number_fields.h"

namespace {

using namespace wagtailpick;           // NOLINT(google-build-using-namespace)
using namespace wagtailpick::cluster;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::CollectNumbers;
using testing::MessageMutator;

/// Changed messages of one run; takes about a second.
constexpr std::uint64_t kMutations = 40'000;

/// One message of each kind with all its fields.
std::vector<Message> SampleMessages() {
  consensus::Message append;
  append.from = {"a:1", 1};
  append.to = {"b:1", 1};
  append.entries = {{7, 5, consensus::EntryKind::kData, "data"}};
  append.chunk = {1, 2, "members", 3, "part", true};
  AgedReport aged;
  aged.report = {"i-1", 123, 9, upstreams::State::kDraining, "menu", "10.0.0.9:80",
                 "dc",  "v", 4, std::chrono::seconds(2)};
  const limits::LimitReport limit{"i-1", 17, 2.5, true, std::chrono::milliseconds(30)};
  safety::SuspectReport suspect;
  safety::AddStrike(suspect, {"s", {"10.0.0.9:80", 3}, "", 0, 1'700'000'000'000, true});
  safety::AddSuccess(suspect.successes, {"10.0.0.9:80", 1'700'000'000'000});
  suspect.renewed_at = 1'700'000'000'000;
  return {Hello{NodeRole::kReplica, "vm", "dc", "a:1", "a:2", 99},
          Replicas{{{"a:1", "a:2", "dc"}}},
          Consensus{{append}},
          Reports{17, {aged}, std::vector<std::uint8_t>{1, 2}},
          ReportsAck{5},
          Heartbeats{{{"i-1", 5, 6}}},
          OrderSummary{3, 4, {"dc"}},
          EntryNames{true, {"a"}, {"b"}},
          CatalogRequest{{1, 2}, {3, 4}, {5, 6}, 7},
          CatalogPiece{{1, 2}, {3, 4}, 9, 0, "piece"},
          Ping{true, false, 1, 2},
          ReportsRequest{{1, 2, 3}},
          UpstreamLiveness{4, {{"i-1", std::chrono::seconds(3)}}},
          Observations{{{"i-1", 1, 2, 3, 4}}},
          Conditions{{{"i-1", true}}},
          Suspects{{suspect}},
          LimitReports{{limit}},
          TokenRequest{7, limit, true},
          TokenAnswer{7, true, std::chrono::seconds(2)},
          TokensIssued{{{"i-1", 17, 3}}}};
}

json FieldsOf(const std::string& frame) { return json::from_msgpack(frame.substr(1)); }

/// Whether a number that a process has sent is the one that was read. Times are limited to 100
/// years.
bool IsSameNumber(const json& sent, const json& read) {
  constexpr std::int64_t kLongestSpanMicros = 3'153'600'000'000'000;
  if (sent.is_number_float() || read.is_number_float()) {
    return sent.get<double>() == read.get<double>();
  }
  if (sent.dump() == read.dump()) return true;
  return read == kLongestSpanMicros || read == -kLongestSpanMicros;
}

/// Successes are kept in an order of their own, and the oldest ones are dropped.
bool HasOnlySentNumbers(const std::vector<json*>& sent, const std::vector<json*>& read) {
  return std::all_of(read.begin(), read.end(), [&](const json* number) {
    return *number == 0 || std::any_of(sent.begin(), sent.end(), [&](const json* other) {
      return IsSameNumber(*other, *number);
    });
  });
}

/// Expects that a message with these fields is refused, or that number `changed` is read as sent.
void CheckIsReadAsSent(char kind, json fields, std::size_t changed) {
  std::string frame(1, kind);
  json::to_msgpack(fields, frame);
  const auto decoded = Decode(frame);
  if (!decoded) return;
  json read = FieldsOf(Encode(decoded.value()));
  std::vector<json*> numbers;
  std::vector<json*> read_numbers;
  CollectNumbers(fields, numbers);
  CollectNumbers(read, read_numbers);
  const bool same = std::holds_alternative<Suspects>(decoded.value())
                        ? HasOnlySentNumbers(numbers, read_numbers)
                        : read_numbers.size() == numbers.size() &&
                              IsSameNumber(*numbers[changed], *read_numbers[changed]);
  cr_expect(same, "kind %d, %s read as %s", kind, fields.dump().c_str(), read.dump().c_str());
}

}  // namespace

// Guards against a message kind that the other tests of this file leave out.
Test(hostile_message, samples_have_every_kind) {
  const auto samples = SampleMessages();
  cr_assert(samples.size() == std::variant_size_v<Message>);
  for (std::size_t kind = 0; kind < samples.size(); ++kind) {
    cr_expect(samples[kind].index() == kind, "kind %zu", kind);
  }
}

// Guards against a number that is read as another one: 257 as state 1, -1 as 18446744073709551615,
// and a fraction or a truth value as an integer.
Test(hostile_message, reads_each_number_as_sent_or_refuses_it) {
  const auto values = testing::LimitValues();
  for (const auto& message : SampleMessages()) {
    const auto frame = Encode(message);
    json fields = FieldsOf(frame);
    std::vector<json*> numbers;
    CollectNumbers(fields, numbers);
    for (std::size_t changed = 0; changed < numbers.size(); ++changed) {
      const json original = *numbers[changed];
      for (const auto& value : values) {
        *numbers[changed] = value;
        CheckIsReadAsSent(frame[0], fields, changed);
      }
      *numbers[changed] = original;
    }
  }
}

// Guards against bytes of another process that end this one, and against a message that is accepted
// and can't be sent on.
Test(hostile_message, survives_changed_frames) {
  MessageMutator mutator(testing::MutationSeed());
  const auto samples = SampleMessages();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto changed = mutator.Mutate(Encode(samples[mutator.Pick(samples.size())]));
    const auto decoded = Decode(changed);
    if (decoded) cr_expect(Decode(Encode(decoded.value())).has_value(), "message %lu", i);
  }
}

// Guards against a fingerprint that is padded or cut, so that it blocks another request.
Test(hostile_message, refuses_fingerprints_of_another_length) {
  for (const std::size_t size : {0U, 31U, 32U, 33U}) {
    const auto sample = Encode(Suspects{{safety::SuspectReport{}}});
    json fields = FieldsOf(sample);
    // The first field of the first report.
    fields.at(0).at(0).at(0) = json::binary(std::vector<std::uint8_t>(size));
    std::string frame(1, sample[0]);
    json::to_msgpack(fields, frame);
    cr_expect(Decode(frame).has_value() == (size == 32), "%zu bytes", size);
  }
}

// Guards against a short frame that takes gigabytes to decode: a compressed list of small values
// grows a hundredfold when it is expanded, and sixteenfold again when it is decoded.
Test(hostile_message, refuses_a_frame_with_too_many_values) {
  const std::vector<std::uint64_t> digests(4'000'000);
  const auto frame = Encode(ReportsRequest{digests});
  cr_assert(frame.size() < 10'000, "%zu bytes", frame.size());
  cr_expect(!Decode(frame));
}
