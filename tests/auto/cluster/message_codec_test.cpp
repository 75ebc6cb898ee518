#include "cluster/message_codec.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;           // NOLINT(google-build-using-namespace)
using namespace wagtailpick::cluster;  // NOLINT(google-build-using-namespace)

template <typename T>
T RoundTrip(const T& message) {
  const auto decoded = Decode(Encode(message));
  cr_assert(decoded.has_value());
  return std::get<T>(decoded.value());
}

}  // namespace

// Guards against a field of the replicated log's messages that is lost on the way.
Test(message_codec, carries_consensus_messages_whole) {
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
  const auto back = RoundTrip(Consensus{{message, message}});
  cr_assert(back.messages.size() == 2);
  cr_expect(back.messages[1] == message);
}

// Guards against an upstream's drain that arrives as something else.
Test(message_codec, carries_reports_whole) {
  AgedReport aged;
  aged.report = {"i-1",   123,  9, upstreams::State::kDraining, "menu", "10.0.0.9:80",
                 "mvd-a", "v2", 4, std::chrono::seconds(2)};
  aged.age = std::chrono::milliseconds(30);
  const auto back = RoundTrip(Reports{17, {aged}});
  cr_expect(back.ticket == 17);
  cr_expect(back.reports.at(0).report == aged.report);
  cr_expect(back.reports.at(0).age == aged.age);
}

Test(message_codec, carries_the_other_messages) {
  const auto hello = RoundTrip(Hello{NodeRole::kReplica, "vm", "mvd-a", "a:1", "a:2", 99});
  cr_expect(hello.role == NodeRole::kReplica && hello.incarnation == 99);
  cr_expect(RoundTrip(Replicas{{{"a:1", "a:2", "dc"}}}).replicas.at(0).service_address == "a:2");
  cr_expect(RoundTrip(Beats{{{"i-1", 5, 6}}}).beats.at(0).sequence == 6);
  cr_expect(RoundTrip(OrderSummary{3, 4, {"mvd-a"}}).evacuated.at(0) == "mvd-a");
  cr_expect(RoundTrip(Entries{{"e1", "e2"}}).vms.size() == 2);
  cr_expect(RoundTrip(CatalogContent{4, "bytes"}).bytes == "bytes");
  cr_expect(RoundTrip(CatalogRequest{4}).version == 4);
  cr_expect(RoundTrip(ReportsTaken{8}).ticket == 8);
  cr_expect(RoundTrip(Ping{true}).ready);
}

// Guards against a process that dies of a message it can't read.
Test(message_codec, refuses_what_it_cannot_read) {
  cr_expect(!Decode(""));
  cr_expect(!Decode("\x7f"));
  const std::string frame = Encode(Hello{});
  for (std::size_t size = 1; size < frame.size(); ++size) cr_expect(!Decode(frame.substr(0, size)));
}
