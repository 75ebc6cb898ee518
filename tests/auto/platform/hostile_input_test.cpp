#include <criterion/criterion.h>

#include <string>

#include "cluster/message_codec.h"
#include "control_group.h"
#include "platform/standin_wire.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using platform_test::ControlGroup;
using testing::MessageMutator;

/// Changed messages of one run.
constexpr std::uint64_t kMutations = 1'500;
/// After so many changed messages, a sound server announces itself.
constexpr std::uint64_t kAnnounceEvery = 50;

upstreams::UpstreamReport ServerReport(std::uint64_t sequence) {
  return {"i-7f3a91c2",
          1'700'000'000'000,
          sequence,
          upstreams::State::kReady,
          "menu",
          "10.128.0.9:8080",
          "dc-0",
          "v1",
          4,
          {}};
}

http::Request Post(const std::string& target) {
  return {"POST", target, {{"Host", "control"}}, "", ""};
}

/// Returns one of the messages that a replica takes from outside, unchanged.
http::Request PickRequest(MessageMutator& mutator) {
  switch (mutator.Pick(6)) {
    case 0:
      return platform::PutConfig(platform::TwoRouteConfig(1, "menu"));
    case 1:
      return Post("/-/evacuate/dc-2/end");
    case 2:
      return {"GET", "/-/resolve?name=a&region=east&zone=dc-0", {{"Host", "directory"}}, "", ""};
    case 3:
      return Post("/-/instances/i-other/leave");
    default: {
      auto report = ServerReport(mutator.Pick(1'000));
      report.id = "i-other";
      return platform::Heartbeat(report);
    }
  }
}

/// A target with these bytes would only end the request line earlier.
std::string MutateTarget(MessageMutator& mutator, const std::string& target) {
  auto mutated = mutator.Mutate(target);
  std::erase_if(mutated, [](char byte) { return byte == ' ' || byte == '\r' || byte == '\n'; });
  return mutated.empty() ? "/" : mutated;
}

std::string Frame(const std::string& content) {
  std::string frame;
  for (unsigned shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>((content.size() >> shift) & 0xffU));
  }
  return frame + content;
}

/// Bytes of a link between processes: a hello and one message, one of them changed.
std::string MutatedFrames(MessageMutator& mutator) {
  const cluster::Hello hello{
      cluster::NodeRole::kReplica, "vm", "dc-0", "127.0.0.1:9", "127.0.0.1:10", 7};
  const std::vector<cluster::Message> messages{
      cluster::Ping{true, true, 1, 1},
      cluster::Replicas{{{"127.0.0.1:11", "127.0.0.1:12", "dc-1"}}},
      cluster::Reports{3, {{ServerReport(1), {}}}, {}},
      cluster::Heartbeats{{{"i-7f3a91c2", 1'700'000'000'000, 2}}},
      cluster::ReportsRequest{{1, 2, 3}},
  };
  auto first = cluster::Encode(hello);
  auto second = cluster::Encode(messages.at(mutator.Pick(messages.size())));
  auto& changed = mutator.Pick(2) == 0 ? first : second;
  changed = mutator.Mutate(changed);
  return Frame(first) + Frame(second);
}

void SendMutated(const ControlGroup& group, MessageMutator& mutator) {
  const auto node = mutator.Pick(group.size());
  auto request = PickRequest(mutator);
  switch (mutator.Pick(5)) {
    case 0:
      request.target = MutateTarget(mutator, request.target);
      break;
    case 1: {
      const auto bytes =
          "POST " + request.target +
          " HTTP/1.1\r\nHost: control\r\nContent-Length: " + std::to_string(request.body.size()) +
          "\r\n\r\n" + request.body;
      return group.SendRaw(node, ControlGroup::orders_port(), mutator.Mutate(bytes));
    }
    case 2:
      return group.SendRaw(node, ControlGroup::cluster_port(), MutatedFrames(mutator));
    default:
      if (!request.body.empty()) request.body = mutator.Mutate(request.body);
      break;
  }
  static_cast<void>(group.Call(node, request));
}

}  // namespace

// Guards against bytes from outside that end a control process or cost another one its answer: a
// heartbeat with a byte that is not UTF-8 ended every process that read it.
Test(hostile_input, control_group_survives_changed_messages, .timeout = 3'600) {
  const ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(platform::TwoRouteConfig(1, "menu"))));
  MessageMutator mutator(testing::MutationSeed());
  const auto mutations = testing::MutationCount(kMutations);
  for (std::uint64_t i = 0; i < mutations; ++i) {
    SendMutated(group, mutator);
    if (i % kAnnounceEvery != 0) continue;
    const auto heartbeat = platform::Heartbeat(ServerReport(i + 1));
    const auto answer = group.Call(i / kAnnounceEvery % group.size(), heartbeat);
    cr_expect(answer && answer->status == 200, "heartbeat of a sound server after %llu messages",
              static_cast<unsigned long long>(i));
  }
  cr_expect(group.CallUntilAccepted(platform::GetConfig()));
  for (std::size_t node = 0; node < group.size(); ++node) {
    const auto failures = group.Metric(node, "wagtailpick_request_handler_failures");
    cr_expect(failures == 0.0);
  }
}
