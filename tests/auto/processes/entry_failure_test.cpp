#include <criterion/criterion.h>

#include <csignal>
#include <future>
#include <vector>

#include "harness/charge_load.h"
#include "harness/cluster.h"
#include "harness/expect.h"

using wagtailpick::processes::Answer;
using wagtailpick::processes::CallerRequest;
using wagtailpick::processes::ChargeLoad;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

namespace {

// Long enough that requests are running at any moment.
constexpr unsigned kWorkMs = 200;
constexpr std::size_t kSomeCharges = 60;

// The first entry is in the same data centre as the first two upstreams, so it owns them.
void AddPaymentUpstreams(Cluster& cluster) {
  cluster.AddUpstream("payment", "mvd-1", kWorkMs);
  cluster.AddUpstream("payment", "mvd-1", kWorkMs);
  cluster.AddUpstream("payment", "pde-1", kWorkMs);
  cluster.WaitUntilServed("payment");
  WaitUntil("the first entry owns the upstreams in its data centre",
            [&] { return cluster.CountEvents(cluster.entry(0), "ownership_granted") >= 2; });
}

std::size_t CountOwnershipsOfOtherEntries(Cluster& cluster) {
  return cluster.CountEvents(cluster.entry(1), "ownership_granted") +
         cluster.CountEvents(cluster.entry(2), "ownership_granted");
}

// Kills the owner of two upstreams while charges that callers sent through `entries` are running.
void CheckKill(const std::vector<std::size_t>& entries) {
  Cluster cluster;
  AddPaymentUpstreams(cluster);
  ChargeLoad load(cluster, "charge", entries);
  load.WaitForMore(kSomeCharges);
  const auto owned = CountOwnershipsOfOtherEntries(cluster);
  WaitUntil("the owner has running requests", [&] {
    return cluster.Stats(cluster.upstreams()[0]).at("running") >= 2 &&
           cluster.Stats(cluster.upstreams()[1]).at("running") >= 2;
  });
  cluster.entry(0).process->Kill();
  WaitUntil("its upstreams have new owners",
            [&] { return CountOwnershipsOfOtherEntries(cluster) >= owned + 2; });
  load.WaitForMore(kSomeCharges);
  load.Stop();
  load.Check();
}

}  // namespace

// Guards against a charge that runs again when its caller resends it after its entry was killed,
// against a wrong `not_run` verdict, and against a new owner that exceeds the slots of an upstream.
Test(entry_failure, killed_entry_runs_no_charge_twice) {
  RunTest([] { CheckKill({0, 1, 2}); });
}

// Guards against the failures of `killed_entry_runs_no_charge_twice` when the killed entry owned
// the upstreams and other entries had forwarded the charges to it.
Test(entry_failure, killed_owner_runs_no_charge_twice) {
  RunTest([] { CheckKill({1, 2}); });
}

// Guards against a new owner that uses slots still occupied by requests of the previous owner.
Test(entry_failure, requests_of_a_paused_owner_keep_their_slots) {
  RunTest([] {
    constexpr unsigned kDeadlineMs = 10'000;
    constexpr std::size_t kSlots = 3;
    constexpr int kWarmUp = 100;
    Cluster cluster;
    const auto bundle = cluster.tool().Sign({2, 0, kDeadlineMs});
    cluster.SubmitUntilKnown(bundle, cluster.control_list());
    cluster.WaitInForce(2);
    const auto& upstream = cluster.AddUpstream("listings", "mvd-1");
    cluster.WaitUntilServed("listings");
    // The slots of a new upstream become usable one by one.
    for (int i = 0; i < kWarmUp; ++i) cluster.http().Get(cluster.entry_address(0), "/s/listings/a");
    CallerRequest slow;
    slow.address = cluster.entry_address(0);
    slow.target = "/s/listings/slow";
    slow.headers = {{"X-Standin-Work-Ms", "8000"}};
    std::vector<std::future<Answer>> pending;
    WaitUntil("all slots of the upstream are in use", [&] {
      const std::size_t running = cluster.Stats(upstream).at("running");
      if (running < kSlots) pending.push_back(cluster.http().Start(slow));
      return running == kSlots;
    });
    const auto owned = CountOwnershipsOfOtherEntries(cluster);
    cluster.entry(0).process->Pause();
    WaitUntil("the upstream has a new owner",
              [&] { return CountOwnershipsOfOtherEntries(cluster) > owned; });
    WaitUntil("the new owner sends it a request", [&] {
      return cluster.http().Get(cluster.entry_address(1), "/s/listings/b").status == 200;
    });
    cluster.entry(0).process->Signal(SIGCONT);
    cluster.WaitUntilServed("listings");
    for (auto& answer : pending) answer.get();
    const auto stats = cluster.Stats(upstream);
    Expect(stats.at("max_running") == kSlots, "slots exceeded: " + stats.dump());
  });
}

// Guards against an entry that continues to send requests after a pause longer than its lease,
// while new owners use the slots of its upstreams.
Test(entry_failure, paused_owner_exceeds_no_slots_when_it_resumes) {
  RunTest([] {
    Cluster cluster;
    AddPaymentUpstreams(cluster);
    ChargeLoad load(cluster, "charge");
    load.WaitForMore(kSomeCharges);
    const auto owned = CountOwnershipsOfOtherEntries(cluster);
    cluster.entry(0).process->Pause();
    WaitUntil("its upstreams have new owners",
              [&] { return CountOwnershipsOfOtherEntries(cluster) >= owned + 2; });
    load.WaitForMore(kSomeCharges);
    cluster.entry(0).process->Signal(SIGCONT);
    load.WaitForMore(kSomeCharges);
    load.Stop();
    load.Check();
  });
}
