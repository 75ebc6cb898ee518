#include "cluster/message_codec.h"

#include <criterion/criterion.h>

#include <limits>

namespace {

using namespace wagtailpick;           // NOLINT(google-build-using-namespace)
using namespace wagtailpick::cluster;  // NOLINT(google-build-using-namespace)
using distribution::CatalogKey;

template <typename T>
T RoundTrip(const T& message) {
  const auto decoded = Decode(Encode(message));
  cr_assert(decoded.has_value());
  return std::get<T>(decoded.value());
}

}  // namespace

// Guards against losing a field of a consensus message.
Test(message_codec, preserves_consensus_messages) {
  consensus::Message message;
  message.kind = consensus::MessageKind::kAppend;
  message.from = {"10.0.0.1:7720", 3};
  message.to = {"10.0.0.2:7720", 4};
  message.term = 5;
  message.log_index = 6;
  message.log_term = 4;
  message.commit = 2;
  message.sent_at = -7;
  message.accepted = true;
  message.match = 8;
  message.entries = {{7, 5, consensus::EntryKind::kData, std::string("\0\xff", 2)}};
  message.chunk = {1, 2, "members", 3, "part", true};
  const auto decoded = RoundTrip(Consensus{{message, message}});
  cr_assert(decoded.messages.size() == 2);
  cr_expect(decoded.messages[1] == message);
}

// Guards against a report that decodes to another state, such as a drain to ready.
Test(message_codec, preserves_reports) {
  AgedReport aged;
  aged.report = {"i-1",   123,  9, upstreams::State::kDraining, "menu", "10.0.0.9:80",
                 "mvd-a", "v2", 4, std::chrono::seconds(2)};
  aged.age = std::chrono::milliseconds(30);
  const auto decoded = RoundTrip(Reports{17, {aged}, {}});
  cr_expect(!decoded.complete_parts);
  cr_expect(decoded.ack_id == 17);
  cr_expect(decoded.reports.at(0).report == aged.report);
  cr_expect(decoded.reports.at(0).age == aged.age);
}

Test(message_codec, preserves_other_messages) {
  const auto hello = RoundTrip(Hello{NodeRole::kReplica, "vm", "mvd-a", "a:1", "a:2", 99});
  cr_expect(hello.role == NodeRole::kReplica && hello.incarnation == 99);
  cr_expect(RoundTrip(Replicas{{{"a:1", "a:2", "dc"}}}).replicas.at(0).service_address == "a:2");
  cr_expect(RoundTrip(Heartbeats{{{"i-1", 5, 6}}}).heartbeats.at(0).sequence == 6);
  cr_expect(RoundTrip(OrderSummary{3, 4, {"mvd-a"}}).evacuated.at(0) == "mvd-a");
  cr_expect(RoundTrip(ReportsAck{8}).ack_id == 8);
  const auto names = RoundTrip(EntryNames{true, {"e1", "e2"}, {"e3"}});
  cr_expect(names.complete && names.added.size() == 2 && names.removed.at(0) == "e3");
  const auto ping = RoundTrip(Ping{true, true, 7, 8});
  cr_expect(ping.ready && ping.follows && ping.orders_index == 7 && ping.catalog_version == 8);
}

// Guards against an entry that requests or receives the wrong part of a catalog.
Test(message_codec, preserves_catalog_requests_and_pieces) {
  const auto request = RoundTrip(CatalogRequest{{1, 2}, {3, 4}, {5, 6}, 7});
  cr_expect((request.held == CatalogKey{1, 2}));
  cr_expect((request.wanted == CatalogKey{3, 4}));
  cr_expect((request.base == CatalogKey{5, 6}));
  cr_expect(request.offset == 7);
  const auto piece = RoundTrip(CatalogPiece{{1, 2}, {3, 4}, 5, 6, std::string("\0\xff", 2)});
  cr_expect((piece.key == CatalogKey{1, 2}));
  cr_expect((piece.base == CatalogKey{3, 4}));
  cr_expect(piece.total == 5 && piece.offset == 6);
  cr_expect(piece.bytes == std::string("\0\xff", 2));
}

// Guards against comparing the digests of different parts of two tables.
Test(message_codec, preserves_messages_that_compare_tables) {
  const auto request = RoundTrip(ReportsRequest{{1, 2, ~0ULL}});
  cr_expect(request.digests == std::vector<std::uint64_t>({1, 2, ~0ULL}));
  const auto answer = RoundTrip(Reports{0, {}, std::vector<std::uint8_t>{3, 63}});
  cr_expect(answer.complete_parts == std::vector<std::uint8_t>({3, 63}));
  const auto liveness = RoundTrip(UpstreamLiveness{9, {{"i-1", std::chrono::seconds(4)}}});
  cr_expect(liveness.digest == 9 && liveness.silent.at(0).id == "i-1");
  cr_expect(liveness.silent.at(0).silence == std::chrono::seconds(4));
}

// Guards against observations or conditions that decode to other values.
Test(message_codec, preserves_observations_and_conditions) {
  const observation::Observation observation{"i-1", 1, 2, 3, 4};
  cr_expect((RoundTrip(Observations{{observation}}).observations.at(0) == observation));
  const observation::Condition condition{"i-1", true};
  cr_expect((RoundTrip(Conditions{{condition}}).conditions.at(0) == condition));
}

// Guards against a receiver that counts a crash twice or keeps one that was withdrawn.
Test(message_codec, preserves_suspects) {
  safety::SuspectReport report;
  report.fingerprint = safety::FingerprintOf("h", "GET", "/x", "body");
  safety::AddStrike(report, {"b", {"10.0.0.2:80", 7}, {}, 0, 11, true});
  safety::AddStrike(report, {"a", {"10.0.0.1:80", 8}, {}, 0, 12, false});
  safety::AddSuccess(report.successes, {"10.0.0.3:80", 13});
  report.renewed_at = 14;
  const auto decoded = RoundTrip(Suspects{{report}});
  cr_assert(decoded.reports.size() == 1);
  cr_expect((decoded.reports.at(0) == report));
}

// Guards against sending long lists between regions uncompressed, and against compressed messages
// that cannot be decoded.
Test(message_codec, compresses_long_messages) {
  Reports reports;
  for (int i = 0; i < 800; ++i) {
    AgedReport aged;
    aged.report.id = "i-" + std::to_string(i * 7'919);
    aged.report.service = "menu";
    aged.report.address = "10.128.0." + std::to_string(i) + ":9080";
    aged.report.data_centre = "mvd-a";
    reports.reports.push_back(aged);
  }
  const auto frame = Encode(reports);
  cr_expect(frame.size() < 24'000, "%zu bytes", frame.size());
  cr_expect(RoundTrip(reports).reports.size() == 800);
  for (std::size_t size = 1; size < frame.size(); size += 97) {
    cr_expect(!Decode(frame.substr(0, size)));
  }
}

// Guards against a process that crashes on a malformed frame.
Test(message_codec, refuses_malformed_frames) {
  cr_expect(!Decode(""));
  cr_expect(!Decode("\x7f"));
  const std::string frame = Encode(Hello{});
  for (std::size_t size = 1; size < frame.size(); ++size) cr_expect(!Decode(frame.substr(0, size)));
}

// Guards against a limit or a token that another process reads differently, and against a rate that
// is no number.
Test(message_codec, preserves_limits_and_tokens) {
  const limits::LimitReport report{"i-1", 17, 2.4, true, std::chrono::milliseconds(30)};
  const auto same = [&report](const limits::LimitReport& other) {
    return other.upstream == report.upstream && other.started_unix_ms == report.started_unix_ms &&
           other.requests_per_second == report.requests_per_second && other.ended == report.ended &&
           other.age == report.age;
  };
  cr_expect(same(RoundTrip(LimitReports{{report}}).reports.at(0)));
  const auto request = RoundTrip(TokenRequest{7, report, true});
  cr_expect(request.id == 7 && same(request.limit) && request.urgent);
  const auto answer = RoundTrip(TokenAnswer{7, true, std::chrono::seconds(2)});
  cr_expect(answer.id == 7 && answer.granted && answer.retry_in == std::chrono::seconds(2));
  const auto issued = RoundTrip(TokensIssued{{{"i-1", 17, 3}}}).tokens.at(0);
  cr_expect(issued.upstream == "i-1" && issued.started_unix_ms == 17 && issued.count == 3);
  for (const double rate : {-1.0, std::numeric_limits<double>::infinity()}) {
    cr_expect(!Decode(Encode(LimitReports{{{"i-1", 17, rate, false, {}}}})));
  }
}

// Guards against a name that is taken from a peer, committed with the group's membership, and then
// ends every replica that writes the membership as JSON.
Test(message_codec, refuses_names_that_are_not_printable) {
  const std::string unreadable = "\xff:1";
  cr_expect(!Decode(Encode(Hello{NodeRole::kReplica, "vm", "dc", unreadable, "a:2", 1})));
  cr_expect(!Decode(Encode(Hello{NodeRole::kReplica, unreadable, "dc", "a:1", "a:2", 1})));
  cr_expect(!Decode(Encode(Replicas{{{unreadable, "a:2", "dc"}}})));
}

// Guards against a frame that nests so deeply that its decoder overflows the stack, which ended the
// process.
Test(message_codec, refuses_frames_that_nest_deeply) {
  constexpr std::size_t kLevels = 1'000'000;
  constexpr char kArrayOfOne = '\x91';
  const std::string kind(1, '\0');
  cr_expect(!Decode(kind + std::string(kLevels, kArrayOfOne) + '\xc0'));
  cr_expect(!Decode(kind + std::string(kLevels, kArrayOfOne)));
}
