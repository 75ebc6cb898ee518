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
struct CompetingBundles {
  std::uint64_t version = 0;
  std::string first;
  std::string second;
};

// Submits both bundles concurrently, kills the leader before they finish, and returns the file of
// the accepted bundle.
std::string SubmitWhileLeaderIsKilled(Cluster& cluster, const CompetingBundles& bundles) {
  const auto leader = cluster.WaitForLeader();
  auto& tool = cluster.tool();
  const auto first = tool.StartSubmit(bundles.first, cluster.control(leader).rpc_address);
  const auto second =
      tool.StartSubmit(bundles.second, cluster.control((leader + 1) % kReplicas).rpc_address);
  cluster.control(leader).process->Kill();
  const std::string first_answer = tool.Finish(first).Outcome();
  const std::string second_answer = tool.Finish(second).Outcome();
  const std::string others = cluster.ControlWithout(leader);
  const std::string first_outcome = cluster.SubmitUntilKnown(bundles.first, others);
  const std::string second_outcome = cluster.SubmitUntilKnown(bundles.second, others);
  const std::string summary = "first answers " + first_answer + " and " + second_answer +
                              ", later " + first_outcome + " and " + second_outcome;
  Expect(IsAccepted(first_outcome) != IsAccepted(second_outcome), summary);
  Expect(!IsAccepted(first_answer) || first_outcome == "already_accepted", summary);
  Expect(!IsAccepted(second_answer) || second_outcome == "already_accepted", summary);
  const bool first_won = IsAccepted(first_outcome);
  Expect((first_won ? second_outcome : first_outcome) == "conflict", summary);
  cluster.Start(cluster.control(leader));
  return first_won ? bundles.first : bundles.second;
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

// Renewal for the session of an entry that does not exist and therefore never takes ownership of
// an upstream.
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

// Guards against an accepted bundle that is lost with its leader, two accepted bundles of one
// version, a resubmission whose answer contradicts the actual outcome, and an entry that reverts to
// an older bundle.
Test(control_failure, resubmission_after_leader_kill_gets_final_outcome) {
  RunTest([] {
    Cluster cluster;
    auto& tool = cluster.tool();
    std::vector<std::string> winners;
    for (std::uint64_t version = 2; version <= 4; ++version) {
      const CompetingBundles bundles{version, tool.Sign(version, 0), tool.Sign(version, 1)};
      winners.push_back(SubmitWhileLeaderIsKilled(cluster, bundles));
      ExpectOutcomeEverywhere(cluster, winners.back(), "already_accepted");
      const auto& loser = winners.back() == bundles.first ? bundles.second : bundles.first;
      ExpectOutcomeEverywhere(cluster, loser, "conflict");
      ExpectOutcomeEverywhere(cluster, tool.Sign(version - 1, 2), "superseded");
      cluster.WaitInForce(version);
    }
    for (const auto& winner : winners) ExpectOutcomeEverywhere(cluster, winner, "already_accepted");
    cluster.CheckNoRevert();
  });
}

// Guards against a leader that resumes after a pause, has not yet received a message of its
// successor, and accepts a bundle or extends a lease from its outdated state.
Test(control_failure, resumed_leader_accepts_and_grants_nothing) {
  RunTest([] {
    Cluster cluster;
    auto& tool = cluster.tool();
    const auto paused_index = cluster.WaitForLeader();
    Node& paused = cluster.control(paused_index);
    const std::string others = cluster.ControlWithout(paused_index);
    const auto client = rpc::Client::Create(paused.rpc_address);
    WaitUntil("the leader grants a lease", [&] { return IsRenewed(*client); });
    const std::string winner = tool.Sign(2, 0);
    const std::string competing = tool.Sign(2, 1);
    const auto elected = cluster.CountEvents(paused, "leader_elected");

    paused.process->Pause();
    // Both requests wait in the socket, so the resumed process handles them before any message of
    // its successor.
    const auto renewal = StartRenewal(*client);
    const auto submission = tool.StartSubmit(competing, paused.rpc_address);
    WaitUntil("another replica leads",
              [&] { return cluster.WaitForLeader(others) != paused_index; });
    const auto outcome = cluster.SubmitUntilKnown(winner, others);
    Expect(IsAccepted(outcome), "version 2: " + outcome);
    cluster.WaitInForce(2);
    paused.process->Signal(SIGCONT);

    const bool granted = renewal->get_future().get();
    const bool granted_again = IsRenewed(*client);
    const auto elected_again = cluster.CountEvents(paused, "leader_elected") > elected;
    Expect(elected_again || !granted, "the resumed leader extended a lease");
    Expect(elected_again || !granted_again, "the resumed leader extended a lease later");
    const auto answered = tool.Finish(submission).Outcome();
    Expect(!IsAccepted(answered), "the resumed leader answered " + answered);
    ExpectOutcomeEverywhere(cluster, competing, "conflict");
    ExpectOutcomeEverywhere(cluster, winner, "already_accepted");
    cluster.CheckNoRevert();
  });
}

// Guards against a replica that counts towards a majority before it has recovered the contents of
// its wiped disk. The loss of a second replica would then lose accepted bundles, or lose claims, so
// that charges run twice.
Test(control_failure, second_loss_after_a_wiped_replica_caught_up) {
  RunTest([] {
    constexpr std::size_t kSomeCharges = 40;
    Cluster cluster;
    auto& tool = cluster.tool();
    cluster.AddUpstream("payment", "mvd-1", kWorkMs);
    cluster.AddUpstream("payment", "pde-1", kWorkMs);
    cluster.WaitUntilServed("payment");
    const auto leader = cluster.WaitForLeader();
    // It is down while the claims are made, so only the wiped replica and the one killed later
    // store them.
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
    const auto answered = tool.Finish(submission).Outcome();
    const std::string others = cluster.ControlWithout(lost);
    const auto final_outcome = cluster.SubmitUntilKnown(third, others);
    Expect(
        IsAccepted(final_outcome) && (!IsAccepted(answered) || final_outcome == "already_accepted"),
        "version 3: first answer " + answered + ", later " + final_outcome);
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
