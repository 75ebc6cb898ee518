#include <criterion/criterion.h>
#include <google/protobuf/stubs/logging.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "entry/announcement_json.h"
#include "entry/suspect_codec.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"
#include "testing/number_fields.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::MessageMutator;

/// Changed messages of one run; takes under a second.
constexpr std::uint64_t kMutations = 10'000;

json SampleAnnouncement() {
  return {{"service", "payment"},
          {"address", "10.0.0.1:80"},
          {"incarnation", 5},
          {"sequence", 6},
          {"place", "mvd-1"},
          {"slots", 3},
          {"connections", 4},
          {"state", "ready"},
          {"load", 2},
          {"sent_unix_ms", 1'700'000'000'000}};
}

/// Expects that the numbers of an accepted announcement are those of the JSON text.
void CheckNumbers(const json& sent, const rpc::AnnounceRequest& read) {
  const bool same = sent["incarnation"] == read.incarnation() &&
                    sent["sequence"] == read.sequence() && sent["slots"] == read.slots() &&
                    sent["connections"] == read.connections() && sent["load"] == read.load() &&
                    sent["sent_unix_ms"] == read.sent_unix_ms();
  cr_expect(same, "%s read as %s", sent.dump().c_str(), read.ShortDebugString().c_str());
}

safety::SuspectReport SampleReport() {
  safety::SuspectReport report;
  report.fingerprint.fill(0xfe);
  safety::AddStrike(report, {"s", {"10.0.0.9:80", 3}, "owner", 7, 1'700'000'000'000, true});
  safety::AddStrike(report, {"t", {"10.0.0.8:80", 4}, "", 8, 1'700'000'000'001, false});
  safety::AddSuccess(report.successes, {"10.0.0.9:80", 1'700'000'000'002});
  report.renewed_at = 1'700'000'000'003;
  return report;
}

}  // namespace

// Guards against a body of an upstream that ends the process, and against an error without the name
// of its field.
Test(hostile_announcement, parser_survives_changed_bodies) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = SampleAnnouncement().dump();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto body = mutator.Pick(16) == 0 ? mutator.RandomBytes(64) : mutator.Mutate(sample);
    const auto parsed = entry::ParseAnnouncement(body);
    if (parsed) {
      CheckNumbers(json::parse(body), parsed.value());
      continue;
    }
    const auto colon = parsed.error().message.find(": ");
    cr_expect(colon != std::string::npos && colon > 0, "body %lu: %s", i,
              parsed.error().message.c_str());
  }
}

// Guards against a number that is read as another one, such as 18446744073709551615 as -1.
Test(hostile_announcement, parser_reads_each_number_as_sent_or_refuses_it) {
  const auto sample = SampleAnnouncement();
  for (const auto& field : sample.items()) {
    if (!field.value().is_number()) continue;
    for (const auto& value : testing::LimitValues()) {
      json announcement = SampleAnnouncement();
      announcement[field.key()] = value;
      const auto parsed = entry::ParseAnnouncement(announcement.dump());
      if (parsed) {
        CheckNumbers(announcement, parsed.value());
      } else {
        cr_expect(parsed.error().message.starts_with(field.key() + ": "), "%s",
                  parsed.error().message.c_str());
      }
    }
  }
}

// Guards against a body of brackets, of at most 8 MiB, that takes hundreds of megabytes to parse.
Test(hostile_announcement, parser_refuses_deep_nesting) {
  const std::size_t levels = std::size_t{4} * 1024 * 1024;
  const auto parsed = entry::ParseAnnouncement(std::string(levels, '[') + std::string(levels, ']'));
  cr_assert(!parsed);
  cr_expect(parsed.error().message == "announcement: nested deeper than 32 levels", "%s",
            parsed.error().message.c_str());
}

// Guards against an error that names no field, and one that repeats long or unprintable input.
Test(hostile_announcement, parser_names_unknown_fields) {
  const std::vector<std::pair<std::string, std::string>> names{
      {"", "\"\": unknown field"},
      {"a\n", "a\\x0a: unknown field"},
      {std::string(20'000, 'a'), std::string(64, 'a') + "...: unknown field"}};
  for (const auto& [name, message] : names) {
    json announcement = SampleAnnouncement();
    announcement[name] = 1;
    const auto parsed = entry::ParseAnnouncement(announcement.dump());
    cr_assert(!parsed);
    cr_expect(parsed.error().message == message, "%s", parsed.error().message.c_str());
  }
}

// Guards against a report of another entry that is lost or changed on its way.
Test(hostile_announcement, suspect_codec_keeps_every_field) {
  const auto decoded = entry::FromWire(entry::ToWire(SampleReport()));
  cr_assert(decoded.has_value());
  cr_expect(decoded.value() == SampleReport());
}

// Guards against bytes of another entry that end the process, or that are read as a report which
// can't be passed on.
Test(hostile_announcement, suspect_codec_survives_changed_reports) {
  MessageMutator mutator(testing::MutationSeed());
  // Protobuf writes a line for each text that is not UTF-8.
  const google::protobuf::LogSilencer silencer;
  const auto sample = entry::ToWire(SampleReport()).SerializeAsString();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    rpc::SuspectReport wire;
    if (!wire.ParseFromString(mutator.Mutate(sample))) continue;
    const auto decoded = entry::FromWire(wire);
    if (!decoded) {
      cr_expect(decoded.error().message.find(": ") != std::string::npos, "report %lu", i);
      continue;
    }
    const auto again = entry::FromWire(entry::ToWire(decoded.value()));
    cr_expect(again && again.value() == decoded.value(), "report %lu", i);
  }
}

// Guards against a time of another entry whose difference from now overflows, so that a block of a
// suspect request is renewed forever or never.
Test(hostile_announcement, suspect_codec_refuses_impossible_times) {
  const auto expect_names = [](const rpc::SuspectReport& wire, const std::string& field) {
    const auto decoded = entry::FromWire(wire);
    cr_assert(!decoded, "%s is accepted", field.c_str());
    cr_expect(decoded.error().message.starts_with(field + ": "), "%s",
              decoded.error().message.c_str());
  };
  for (const auto time : {INT64_MIN, INT64_MAX, (std::int64_t{1} << 52) + 1}) {
    auto wire = entry::ToWire(SampleReport());
    wire.set_renewed_at(time);
    expect_names(wire, "renewed_at");
    wire.mutable_successes(0)->set_at(time);
    expect_names(wire, "successes.at");
    wire.mutable_strikes(1)->set_at(time);
    expect_names(wire, "strikes.at");
  }
}
