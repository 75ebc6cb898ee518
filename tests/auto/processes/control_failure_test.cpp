#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <set>

#include "harness/charge_load.h"
#include "harness/cluster.h"
#include "harness/expect.h"
#include "rpc/client.h"

using wagtailpick::processes::ChargeLoad;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::Node;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

namespace rpc = wagtailpick::rpc;

namespace {

constexpr std::size_t kReplicas = 3;
constexpr std::chrono::seconds kCallTimeout{60};
constexpr unsigned kWorkMs = 20;

bool IsAccepted(const std::string& outcome) {
  return outcome == "accepted" || outcome == "already_accepted";
}

// Two bundles of one version, of which at most one may be accepted.
struct Rivals {
  std::uint64_t version = 0;
  std::string first;
  std::string second;
};

// Submits both rivals at once, kills the leader meanwhile, and returns the file of the winner.
std::string SubmitWhileLeaderDies(Cluster& cluster, const Rivals& rivals) {
  const auto leader = cluster.WaitForLeader();
  auto& tool = cluster.tool();
  const auto first = tool.StartSubmit(rivals.first, cluster.control(leader).rpc_address);
  const auto second =
      tool.StartSubmit(rivals.second, cluster.control((leader + 1) % kReplicas).rpc_address);
  cluster.control(leader).process->Kill();
  const std::string told_first = tool.Finish(first).Outcome();
  const std::string told_second = tool.Finish(second).Outcome();
  const std::string others = cluster.ControlWithout(leader);
  const std::string truth_first = cluster.SubmitUntilKnown(rivals.first, others);
  const std::string truth_second = cluster.SubmitUntilKnown(rivals.second, others);
  const std::string story = "told " + told_first + " and " + told_second + ", later " +
                            truth_first + " and " + truth_second;
  Expect(IsAccepted(truth_first) != IsAccepted(truth_second), story);
  Expect(!IsAccepted(told_first) || truth_first == "already_accepted", story);
  Expect(!IsAccepted(told_second) || truth_second == "already_accepted", story);
  const bool first_won = IsAccepted(truth_first);
  Expect((first_won ? truth_second : truth_first) == "conflict", story);
  cluster.Start(cluster.control(leader));
  return first_won ? rivals.first : rivals.second;
}

void ExpectOutcomeEverywhere(Cluster& cluster, const std::string& signed_file,
                             const std::string& expected) {
  for (std::size_t i = 0; i < kReplicas; ++i) {
    const auto& node = cluster.control(i);
    const auto outcome = cluster.SubmitUntilKnown(signed_file, node.rpc_address);
    Expect(outcome == expected,
           signed_file + " at " + node.vm + ": " + outcome + " instead of " + expected);
  }
}

// A session of an entry that doesn't exist and so never takes an upstream.
rpc::RenewRequest ProbeRenewal() {
  rpc::RenewRequest request;
  request.set_vm("probe");
  request.set_incarnation(1);
  request.set_region("col");
  request.set_data_centre("col-2");
  request.set_http_address("127.0.0.1:1");
  request.set_rpc_address("127.0.0.1:1");
  request.set_draining(true);
  return request;
}

std::shared_ptr<std::promise<bool>> StartRenewal(rpc::Client& client) {
  auto granted = std::make_shared<std::promise<bool>>();
  client.Renew(ProbeRenewal(), kCallTimeout,
               [granted](const wagtailpick::base::Result<rpc::RenewReply>& reply) {
                 granted->set_value(reply && reply.value().granted());
               });
  return granted;
}

bool IsRenewed(rpc::Client& client) { return StartRenewal(client)->get_future().get(); }

}  // namespace

// Guards against an accepted bundle that is lost with its leader, two bundles of one version that
// are both accepted, a resend that is told something else than what happened, and an entry that
// goes back to an older bundle.
Test(control_failure, resend_finds_the_truth_after_the_leader_was_killed) {
  RunTest([] {
    Cluster cluster;
    auto& tool = cluster.tool();
    std::vector<std::string> winners;
    for (std::uint64_t version = 2; version <= 4; ++version) {
      const Rivals rivals{version, tool.Sign(version, 0), tool.Sign(version, 1)};
      winners.push_back(SubmitWhileLeaderDies(cluster, rivals));
      ExpectOutcomeEverywhere(cluster, winners.back(), "already_accepted");
      const auto& loser = winners.back() == rivals.first ? rivals.second : rivals.first;
      ExpectOutcomeEverywhere(cluster, loser, "conflict");
      ExpectOutcomeEverywhere(cluster, tool.Sign(version - 1, 2), "superseded");
      cluster.WaitInForce(version);
    }
    for (const auto& winner : winners) ExpectOutcomeEverywhere(cluster, winner, "already_accepted");
    cluster.CheckNoRevert();
  });
}

// Guards against a leader that was paused, hasn't heard that others have replaced it, and accepts a
// bundle or extends a lease on the strength of what it knew.
Test(control_failure, thawed_leader_accepts_and_grants_nothing) {
  RunTest([] {
    Cluster cluster;
    auto& tool = cluster.tool();
    const auto frozen_index = cluster.WaitForLeader();
    Node& frozen = cluster.control(frozen_index);
    const std::string others = cluster.ControlWithout(frozen_index);
    const auto client = rpc::Client::Create(frozen.rpc_address);
    WaitUntil("the leader grants a lease", [&] { return IsRenewed(*client); });
    const std::string winner = tool.Sign(2, 0);
    const std::string rival = tool.Sign(2, 1);
    const auto elected = cluster.CountEvents(frozen, "leader_elected");

    frozen.process->Signal(SIGSTOP);
    // Both wait in the socket, so the thawed process handles them before it hears of its successor.
    const auto renewal = StartRenewal(*client);
    const auto submission = tool.StartSubmit(rival, frozen.rpc_address);
    WaitUntil("another replica leads",
              [&] { return cluster.WaitForLeader(others) != frozen_index; });
    const auto outcome = cluster.SubmitUntilKnown(winner, others);
    Expect(IsAccepted(outcome), "version 2: " + outcome);
    cluster.WaitInForce(2);
    frozen.process->Signal(SIGCONT);

    const bool granted = renewal->get_future().get();
    const bool granted_again = IsRenewed(*client);
    const auto elected_again = cluster.CountEvents(frozen, "leader_elected") > elected;
    Expect(elected_again || !granted, "the thawed leader extended a lease");
    Expect(elected_again || !granted_again, "the thawed leader extended a lease later");
    const auto told = tool.Finish(submission).Outcome();
    Expect(!IsAccepted(told), "the thawed leader answered " + told);
    ExpectOutcomeEverywhere(cluster, rival, "conflict");
    ExpectOutcomeEverywhere(cluster, winner, "already_accepted");
    cluster.CheckNoRevert();
  });
}

// Guards against a replica that counts towards a majority before it holds again what its lost disk
// held: the loss of a second replica would then lose accepted bundles, or claims, so that charges
// run twice.
Test(control_failure, second_loss_after_a_wiped_replica_caught_up) {
  RunTest([] {
    constexpr std::size_t kSomeCharges = 40;
    Cluster cluster;
    auto& tool = cluster.tool();
    cluster.AddUpstream("payment", "mvd-1", kWorkMs);
    cluster.AddUpstream("payment", "pde-1", kWorkMs);
    cluster.WaitUntilServed("payment");
    const auto leader = cluster.WaitForLeader();
    // It misses the claims, so that the lost replica and the wiped one alone have held them.
    Node& absent = cluster.control((leader + 2) % kReplicas);
    absent.process->Kill();
    ChargeLoad before(cluster, "before");
    before.WaitForMore(kSomeCharges);
    before.Stop();
    cluster.Start(absent);
    const std::string second = tool.Sign(2);
    Expect(IsAccepted(cluster.SubmitUntilKnown(second, cluster.control_list())), "version 2");

    Node& wiped = cluster.control((leader + 1) % kReplicas);
    wiped.process->Kill();
    cluster.folder().MakeEmpty(wiped.data_folder);
    cluster.Start(wiped);
    WaitUntil("the wiped replica holds the claims",
              [&] { return cluster.CountEvents(wiped, "replica_caught_up", "claims") > 0; });
    WaitUntil("the wiped replica votes again", [&] {
      const auto events = cluster.Events(wiped);
      return std::any_of(events.begin(), events.end(), [&](const nlohmann::json& event) {
        return event.at("event") == "replica_caught_up" && event.at("subject") == wiped.rpc_address;
      });
    });

    ChargeLoad during(cluster, "during");
    during.WaitForMore(kSomeCharges);
    const std::string third = tool.Sign(3);
    const auto lost = leader;
    const auto submission = tool.StartSubmit(third, cluster.control(lost).rpc_address);
    cluster.control(lost).process->Kill();
    const auto told = tool.Finish(submission).Outcome();
    const std::string others = cluster.ControlWithout(lost);
    const auto truth = cluster.SubmitUntilKnown(third, others);
    Expect(IsAccepted(truth) && (!IsAccepted(told) || truth == "already_accepted"),
           "version 3: told " + told + ", later " + truth);
    Expect(cluster.SubmitUntilKnown(second, others) == "already_accepted", "version 2 is lost");
    cluster.WaitInForce(3);
    during.WaitForMore(kSomeCharges);
    during.Stop();

    for (const auto& key : before.AnsweredKeys()) {
      wagtailpick::processes::Answer answer;
      WaitUntil(key + " is replayed", [&] {
        answer = cluster.http()
                     .StartCharge(cluster.entry(0).http_address, key, ChargeLoad::BodyOf(key))
                     .get();
        return answer.status == 200;
      });
      Expect(answer.replayed, key + ": " + answer.Text());
    }
    before.Check();
    during.Check();
    cluster.CheckNoRevert();
  });
}
