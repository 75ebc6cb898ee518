#include <criterion/criterion.h>

#include <csignal>

#include "harness/charge_load.h"
#include "harness/cluster.h"
#include "harness/expect.h"

using wagtailpick::processes::ChargeLoad;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

namespace {

constexpr unsigned kWorkMs = 50;
constexpr std::size_t kSomeCharges = 60;

// The first entry is the one in the place of the first two upstreams, so it owns them.
void AddPaymentUpstreams(Cluster& cluster) {
  cluster.AddUpstream("payment", "mvd-1", kWorkMs);
  cluster.AddUpstream("payment", "mvd-1", kWorkMs);
  cluster.AddUpstream("payment", "pde-1", kWorkMs);
  cluster.WaitUntilServed("payment");
  WaitUntil("the first entry owns the upstreams in its place",
            [&] { return cluster.CountEvents(cluster.entry(0), "ownership_granted") >= 2; });
}

std::size_t OwnershipsElsewhere(Cluster& cluster) {
  return cluster.CountEvents(cluster.entry(1), "ownership_granted") +
         cluster.CountEvents(cluster.entry(2), "ownership_granted");
}

}  // namespace

// Guards against a second run of a charge that its caller resends after its entry or the owner of
// its upstream died, against a "not run" that is wrong, and against a new owner that fills slots in
// which requests of the dead one still run.
Test(entry_failure, killed_entry_runs_no_charge_twice) {
  RunTest([] {
    Cluster cluster;
    AddPaymentUpstreams(cluster);
    ChargeLoad load(cluster, "charge");
    load.WaitForMore(kSomeCharges);
    const auto owned = OwnershipsElsewhere(cluster);
    cluster.entry(0).process->Kill();
    WaitUntil("its upstreams have new owners",
              [&] { return OwnershipsElsewhere(cluster) >= owned + 2; });
    load.WaitForMore(kSomeCharges);
    load.Stop();
    load.Check();
  });
}

// Guards against an entry that goes on sending after a pause that outlasted its lease, while new
// owners use the slots of its upstreams.
Test(entry_failure, paused_owner_exceeds_no_slots_when_it_resumes) {
  RunTest([] {
    Cluster cluster;
    AddPaymentUpstreams(cluster);
    ChargeLoad load(cluster, "charge");
    load.WaitForMore(kSomeCharges);
    const auto owned = OwnershipsElsewhere(cluster);
    cluster.entry(0).process->Signal(SIGSTOP);
    WaitUntil("its upstreams have new owners",
              [&] { return OwnershipsElsewhere(cluster) >= owned + 2; });
    load.WaitForMore(kSomeCharges);
    cluster.entry(0).process->Signal(SIGCONT);
    load.WaitForMore(kSomeCharges);
    load.Stop();
    load.Check();
  });
}
