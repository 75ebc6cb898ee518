#include <criterion/criterion.h>
#include <google/protobuf/stubs/logging.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/wall_time.h"
#include "controller/message_codec.h"
#include "rpc/claim_codec.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using testing::MessageMutator;

/// Changed messages of one run, for each kind; takes under a second in all.
constexpr std::uint64_t kMutations = 3'000;
constexpr std::int64_t kSomeTime = 1'700'000'000'000;

claims::Record SampleRecord() {
  claims::Record record;
  record.kind = claims::RecordKind::kCompleted;
  record.table = claims::Table::kTrials;
  record.key.fill(1);
  record.body.fill(2);
  record.attempt.fill(3);
  record.claimed_at = kSomeTime;
  record.deadline = kSomeTime + 2'000;
  record.refused_at = kSomeTime + 1'000;
  record.answer_kept = true;
  record.answer = std::string("a\0\xff", 3);
  record.replica = 4;
  record.incarnation = 99;
  return record;
}

claims::ClaimReply SampleReply() {
  claims::ClaimReply reply;
  reply.replica = 2;
  reply.incarnation = 7;
  reply.known.Raise(1, 8);
  reply.attempt.fill(3);
  reply.status = claims::ClaimStatus::kReleased;
  reply.holder.fill(4);
  reply.holder_body.fill(5);
  reply.holder_deadline = kSomeTime;
  reply.answer = "answer";
  return reply;
}

claims::CopyPage SamplePage() {
  claims::CopyPage page;
  page.source = 1;
  page.source_incarnation = 2;
  page.known.Raise(0, 3);
  page.for_incarnation = 4;
  page.copy_id = ~0ULL;
  page.number = 6;
  page.last = true;
  page.records = {SampleRecord(), {}};
  return page;
}

consensus::Message SampleMessage() {
  consensus::Message message;
  message.kind = consensus::MessageKind::kAppend;
  message.from = {"127.0.0.1:1", 2};
  message.to = {"127.0.0.1:3", 4};
  message.entries = {{11, 12, consensus::EntryKind::kData, std::string("a\0b", 3)}};
  message.chunk = {13, 14, "members", 15, "data", true};
  return message;
}

/// Expects that changes of `sample` are refused with the field, or keep their meaning when they are
/// sent on.
template <typename Value, typename Encode, typename Decode>
void CheckChanges(const Value& sample, const Encode& encode, const Decode& decode) {
  MessageMutator mutator(testing::MutationSeed());
  // Protobuf writes a line for each text that is not UTF-8.
  const google::protobuf::LogSilencer silencer;
  const auto wire = encode(sample);
  auto read = wire;
  const auto unchanged = decode(wire);
  cr_assert(unchanged && encode(unchanged.value()).SerializeAsString() == wire.SerializeAsString());
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    if (!read.ParseFromString(mutator.Mutate(wire.SerializeAsString()))) continue;
    const auto decoded = decode(read);
    if (!decoded) {
      cr_expect(decoded.error().message.size() > 4, "message %lu", i);
      continue;
    }
    const auto sent_on = encode(decoded.value());
    const auto again = decode(sent_on);
    cr_expect(again && encode(again.value()).SerializeAsString() == sent_on.SerializeAsString(),
              "message %lu", i);
  }
}

template <typename Value>
void CheckClaimChanges(const Value& sample) {
  CheckChanges(
      sample, [](const Value& value) { return rpc::ToWire(value); },
      [](const auto& wire) { return rpc::FromWire(wire); });
}

/// Times that no clock shows; a sum or a difference with the first two overflows.
std::vector<std::int64_t> ImpossibleTimes() {
  return {INT64_MIN, INT64_MAX, base::kLatestWallMillis + 1, -base::kLatestWallMillis - 1};
}

template <typename Wire>
void ExpectNames(const Wire& wire, const std::string& field) {
  const auto decoded = rpc::FromWire(wire);
  cr_assert(!decoded, "%s is accepted", field.c_str());
  cr_expect(decoded.error().message.starts_with(field + ": "), "%s",
            decoded.error().message.c_str());
}

}  // namespace

// Guards against bytes of another process or of the disk that end the process, or that are read as
// a claim which can't be sent on.
Test(hostile_wire, claim_codec_survives_changed_messages) {
  CheckClaimChanges(SampleRecord());
  CheckClaimChanges(SampleReply());
  CheckClaimChanges(SamplePage());
  CheckClaimChanges(claims::ClaimRequest{claims::Table::kTrials, {}, {}, {}, kSomeTime, kSomeTime});
  CheckClaimChanges(claims::CompleteRequest{claims::Table::kRequests, {}, {}, {}, 5, "answer"});
  CheckClaimChanges(claims::ReleaseRequest{claims::Table::kRequests, {}, {}, kSomeTime});
  CheckClaimChanges(claims::CopyRequest{3, 4, 5, 6});
}

// As above, for the messages of consensus.
Test(hostile_wire, message_codec_survives_changed_messages) {
  CheckChanges(
      SampleMessage(), [](const auto& message) { return controller::ToWire(message); },
      [](const auto& wire) { return controller::FromWire(wire); });
}

// Guards against a time of another process whose sum with the tolerated clock skew overflows, so
// that a claim that is held counts as expired, or one that has expired as held.
Test(hostile_wire, claim_codec_refuses_impossible_times) {
  for (const auto time : ImpossibleTimes()) {
    auto record = rpc::ToWire(SampleRecord());
    record.set_claimed_at(time);
    ExpectNames(record, "claimed_at");
    record.set_claimed_at(kSomeTime);
    record.set_deadline(time);
    ExpectNames(record, "deadline");
    record.set_deadline(kSomeTime);
    record.set_refused_at(time);
    ExpectNames(record, "refused_at");
    auto request = rpc::ToWire(claims::ClaimRequest{});
    request.set_started_at(time);
    ExpectNames(request, "started_at");
    request.set_started_at(kSomeTime);
    request.set_deadline(time);
    ExpectNames(request, "deadline");
    auto reply = rpc::ToWire(SampleReply());
    reply.set_holder_deadline(time);
    ExpectNames(reply, "holder_deadline");
    auto complete = rpc::ToWire(claims::CompleteRequest{});
    complete.set_deadline(time);
    ExpectNames(complete, "deadline");
    auto release = rpc::ToWire(claims::ReleaseRequest{});
    release.set_refused_at(time);
    ExpectNames(release, "refused_at");
  }
}
