#include <criterion/criterion.h>

#include <set>

#include "harness/cluster.h"
#include "harness/expect.h"

using wagtailpick::processes::Answer;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

// Guards against an answer that is truncated, swapped with another or lost between the entry that
// the caller uses and the entry that owns the upstream.
Test(answer, is_complete_through_every_entry) {
  RunTest([] {
    Cluster cluster;
    cluster.AddUpstream("listings", "mvd-1");
    cluster.WaitUntilServed("listings");
    for (std::size_t i = 0; i < 3; ++i) {
      const std::string target = "/screenings?entry=" + std::to_string(i);
      const Answer answer =
          cluster.http().Get(cluster.entry(i).http_address, "/s/listings" + target);
      Expect(answer.status == 200 && answer.verdict == "ran", answer.Text());
      Expect(answer.body == "GET " + target + " ", answer.Text());
    }
  });
}

// Guards against a charge that runs once for each entry that received it, and against a resend that
// runs the charge again or receives a different answer.
Test(answer, charge_sent_to_two_entries_at_once_runs_once) {
  RunTest([] {
    constexpr int kCharges = 20;
    Cluster cluster;
    cluster.AddUpstream("payment", "mvd-1");
    cluster.WaitUntilServed("payment");
    for (int i = 0; i < kCharges; ++i) {
      const std::string key = "charge-" + std::to_string(i);
      const auto charge = [&](std::size_t entry) {
        return cluster.http().StartCharge(cluster.entry(entry).http_address, key, "blanket=7");
      };
      auto first = charge(0);
      auto second = charge(1 + static_cast<std::size_t>(i) % 2);
      for (auto* answer : {&first, &second}) {
        const Answer got = answer->get();
        const bool is_allowed = (got.status == 200 && got.verdict == "ran") ||
                                (got.status == 409 && got.reason == "in_progress") ||
                                got.verdict == "not_run" || got.verdict == "may_have_run";
        Expect(is_allowed, key + ": " + got.Text());
      }
      Answer resent;
      WaitUntil(key + " is answered", [&] {
        resent = charge(2).get();
        return resent.status == 200;
      });
      Expect(resent.body == "POST /pay blanket=7", resent.Text());
      const Answer again = charge(0).get();
      Expect(again.status == 200 && again.replayed && again.body == resent.body, again.Text());
      Expect(cluster.RunsOf(key) == 1, key + " ran " + std::to_string(cluster.RunsOf(key)));
    }
  });
}
