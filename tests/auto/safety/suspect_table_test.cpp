#include "safety/suspect_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

namespace wagtailpick::safety {
namespace {

constexpr WallMillis kStart = 1'700'000'000'000;

Fingerprint Numbered(int number) {
  return FingerprintOf("listings", "GET", "/" + std::to_string(number), "");
}

LostConnection Lost(int upstream, int event, std::uint64_t incarnation = 1) {
  return {"event-" + std::to_string(event),
          {"upstream-" + std::to_string(upstream), incarnation},
          10,
          {}};
}

LostConnection LostOwner(int upstream, int event, const std::string& session = "entry-1/7") {
  LostConnection lost = Lost(upstream, event);
  lost.owner_session = session;
  return lost;
}

void AddTwoOwnerLosses(SuspectTable& table, const Fingerprint& fingerprint, WallMillis at) {
  table.AddStrike(fingerprint, LostOwner(1, 1, "entry-1/7"), at);
  table.AddStrike(fingerprint, LostOwner(2, 2, "entry-2/7"), at);
}

using Steps = void (*)(SuspectTable&, const Fingerprint&);

struct Case {
  const char* guards_against;
  Steps steps;
  WallMillis after;
  Action expected;
};

const std::array cases = std::to_array<Case>({
    {"a request without a strike that is not served", [](SuspectTable&, const Fingerprint&) {}, 0,
     Action::kServe},
    {"a suspect request that runs without a trial",
     [](SuspectTable& t, const Fingerprint& f) { t.AddStrike(f, Lost(1, 1), kStart); }, 0,
     Action::kTrial},
    {"a request that is not blocked after two lost upstreams",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     0, Action::kBlocked},
    {"a block because several copies of the request were lost with one upstream",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(1, 2), kStart);
     },
     0, Action::kTrial},
    {"two runs at one address that count as one upstream",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1, 1), kStart);
       t.AddStrike(f, Lost(1, 2, 2), kStart);
     },
     0, Action::kBlocked},
    {"a block because one owner was lost",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, LostOwner(1, 1), kStart);
       t.AddStrike(f, LostOwner(2, 2), kStart);
       t.AddStrike(f, Lost(2, 3), kStart);
     },
     0, Action::kTrial},
    {"a request that stays suspect after a successful trial",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddSuccess(f, "upstream-2", kStart);
     },
     60'001, Action::kServe},
    {"two strikes that do not block because of an earlier success",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddSuccess(f, "upstream-3", kStart);
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     0, Action::kBlocked},
    {"a trial for a request that another upstream answered recently",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddSuccess(f, "upstream-2", kStart);
       t.AddStrike(f, Lost(1, 1), kStart);
     },
     60'000, Action::kServe},
    {"a success that counts for longer than 60 s",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddSuccess(f, "upstream-2", kStart);
       t.AddStrike(f, Lost(1, 1), kStart);
     },
     60'001, Action::kTrial},
    {"a success of the lost upstream that counts as a success elsewhere",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddSuccess(f, "upstream-1", kStart);
       t.AddStrike(f, Lost(1, 1), kStart);
     },
     0, Action::kTrial},
    {"a strike that stays although the upstream is still running",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.WithdrawStrikes({"upstream-1", 1}, 12, kStart);
     },
     0, Action::kServe},
    {"an announcement from before the crash that withdraws the strike",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.WithdrawStrikes({"upstream-1", 1}, 11, kStart);
     },
     0, Action::kTrial},
    {"a restart of the upstream that withdraws the strike",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.WithdrawStrikes({"upstream-1", 2}, 12, kStart);
     },
     0, Action::kTrial},
    {"an unresolved trial that does not count as a strike",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddUnresolvedTrial(f, t.Check(f, kStart).trial_key, kStart);
     },
     0, Action::kBlocked},
    {"a block that ends too early",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     599'999, Action::kBlocked},
    {"a block that does not expire",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     600'000, Action::kServe},
    {"a block that a refused attempt does not renew",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
       t.Check(f, kStart + 500'000);
     },
     1'099'999, Action::kBlocked},
    {"a suspicion that lasts longer than the claim of its trial",
     [](SuspectTable& t, const Fingerprint& f) { t.AddStrike(f, Lost(1, 1), kStart); }, 590'000,
     Action::kServe},
});

/// Returns reports of several entries about one fingerprint, some of them contradictory.
std::vector<SuspectReport> SomeReports(std::mt19937_64& random) {
  std::vector<SuspectReport> reports;
  for (int entry = 0; entry < 6; ++entry) {
    SuspectTable table({});
    for (int step = 0; step < 5; ++step) {
      const int number = static_cast<int>(random() % 4);
      const WallMillis at = kStart + static_cast<WallMillis>(random() % 1000);
      const std::string upstream = "upstream-" + std::to_string(number);
      switch (random() % 5) {
        case 0:
          table.AddSuccess(Numbered(1), upstream, at);
          break;
        case 1:
          table.WithdrawStrikes({upstream, 1}, 12, at);
          break;
        case 2:
          table.AddUnresolvedTrial(Numbered(1), "trial:x", at);
          break;
        default:
          table.AddStrike(Numbered(1), Lost(number, number), kStart + number);
      }
    }
    for (const SuspectReport& report : table.reports(kStart + 1000)) reports.push_back(report);
  }
  return reports;
}

}  // namespace

Test(suspect_table, checks_requests_by_their_strikes_and_successes) {
  for (const Case& c : cases) {
    SuspectTable table({});
    c.steps(table, Numbered(1));
    const Action action = table.Check(Numbered(1), kStart + c.after).action;
    cr_assert(action == c.expected, "%s: %s", c.guards_against,
              std::string(ToString(action)).c_str());
  }
}

// Guards against entries whose tables stay different because their messages arrived in different
// orders or twice.
Test(suspect_table, merges_are_commutative_and_idempotent) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<SuspectReport> reports = SomeReports(random);
    SuspectTable first({});
    for (const SuspectReport& report : reports) first.Merge(report, kStart + 1000);
    std::shuffle(reports.begin(), reports.end(), random);
    SuspectTable second({});
    for (int round = 0; round < 2; ++round) {
      for (const SuspectReport& report : reports) second.Merge(report, kStart + 1000);
    }
    cr_assert(first.reports(kStart + 1000) == second.reports(kStart + 1000), "seed %d",
              static_cast<int>(seed));
  }
}

// Guards against a sender that never receives what only the receiver knows, and against endless
// replies.
Test(suspect_table, merge_returns_what_the_sender_lacks) {
  SuspectTable knows({});
  knows.AddSuccess(Numbered(1), "upstream-5", kStart);
  SuspectTable sender({});
  const auto reply = knows.Merge(sender.AddStrike(Numbered(1), Lost(1, 1), kStart), kStart);
  cr_assert(reply.has_value());
  cr_assert(!sender.Merge(*reply, kStart).has_value());
  cr_assert(sender.Check(Numbered(1), kStart).action == Action::kServe);
  cr_assert(sender.ConsumeChanges(kStart).size() == 1);
  cr_assert(sender.ConsumeChanges(kStart).empty());
}

// Guards against unbounded memory use, and against blocked requests that are evicted before
// suspects.
Test(suspect_table, evicts_suspects_before_blocked_requests) {
  SuspectTable table({.max_fingerprints = 10});
  for (int i = 0; i < 5; ++i) {
    table.AddStrike(Numbered(i), Lost(1, 1), kStart);
    table.AddStrike(Numbered(i), Lost(2, 2), kStart);
  }
  for (int i = 5; i < 50; ++i) table.AddStrike(Numbered(i), Lost(1, 1), kStart + i);
  cr_assert(table.size() == 10);
  for (int i = 0; i < 5; ++i) {
    cr_assert(table.Check(Numbered(i), kStart + 100).action == Action::kBlocked);
  }
  cr_assert(table.Check(Numbered(49), kStart + 100).action == Action::kTrial);
  cr_assert(table.Check(Numbered(5), kStart + 100).action == Action::kServe);
}

// Guards against a limit of three lost upstreams that blocks after two, against losses seen by
// several entries that are not added up, and against one loss that is counted for each entry that
// saw it.
Test(suspect_table, counts_losses_of_several_entries_up_to_the_limit) {
  SuspectLimits limits;
  limits.strikes_to_block = 3;
  SuspectTable merged(limits);
  for (int i = 1; i <= 3; ++i) {
    cr_expect(merged.Check(Numbered(1), kStart).action != Action::kBlocked);
    SuspectTable entry(limits);
    merged.Merge(entry.AddStrike(Numbered(1), Lost(i, i), kStart), kStart);
    // A second entry saw the same loss.
    SuspectTable other(limits);
    merged.Merge(other.AddStrike(Numbered(1), Lost(i, 10 + i), kStart), kStart);
    cr_expect(merged.LostUpstreamCount(Numbered(1), kStart) == static_cast<std::size_t>(i));
  }
  cr_expect(merged.Check(Numbered(1), kStart).action == Action::kBlocked);
  cr_expect(merged.IsBlocking(merged.reports(kStart).at(0), kStart));
}

// Guards against a request that counts as blocked, and is published as blocked, while `Check` still
// serves it because another upstream answered it recently.
Test(suspect_table, blocks_by_the_same_rule_as_its_checks) {
  SuspectTable table({});
  table.AddSuccess(Numbered(1), "upstream-3", kStart);
  AddTwoOwnerLosses(table, Numbered(1), kStart);
  const SuspectReport report = table.reports(kStart).at(0);
  for (const WallMillis after : {0, 60'000, 60'001}) {
    const WallMillis now = kStart + after;
    const bool blocked = table.Check(Numbered(1), now).action == Action::kBlocked;
    cr_expect(blocked == (after > 60'000));
    cr_expect(table.IsBlocking(report, now) == blocked, "%d ms after the losses",
              static_cast<int>(after));
  }
}

// Guards against a block that is evicted in place of a request that is served.
Test(suspect_table, evicts_a_served_request_before_a_blocked_one) {
  SuspectTable table({.max_fingerprints = 2});
  table.AddStrike(Numbered(1), Lost(1, 1), kStart);
  table.AddStrike(Numbered(1), Lost(2, 2), kStart);
  table.AddSuccess(Numbered(2), "upstream-3", kStart);
  AddTwoOwnerLosses(table, Numbered(2), kStart + 10);
  table.AddStrike(Numbered(3), Lost(1, 1), kStart + 20);
  cr_expect(table.Check(Numbered(1), kStart + 20).action == Action::kBlocked);
}

// Guards against a suspicion that lasts as long as a block, beyond the claim of its trial, and
// against one that expires and is then valid again.
Test(suspect_table, keeps_a_served_request_no_longer_than_a_suspect) {
  SuspectTable table({});
  AddTwoOwnerLosses(table, Numbered(1), kStart);
  SuspectReport report = table.reports(kStart).at(0);
  safety::AddSuccess(report.successes, {"upstream-3", kStart + 535'000});
  table.Merge(report, kStart + 535'000);
  cr_expect(table.reports(kStart + 589'999).size() == 1);
  for (const WallMillis after : {590'000, 595'000, 595'001, 599'999}) {
    cr_expect(table.reports(kStart + after).empty(), "%d ms after the losses",
              static_cast<int>(after));
  }
}

// Guards against a broadcast for each attempt of a blocked request, and against a block that ends
// while attempts still arrive.
Test(suspect_table, renews_blocks_in_steps) {
  SuspectLimits limits;
  limits.renewal_step_ms = 30'000;
  SuspectTable table(limits);
  table.AddStrike(Numbered(1), Lost(1, 1), kStart);
  table.AddStrike(Numbered(1), Lost(2, 2), kStart);
  table.Check(Numbered(1), kStart);
  cr_expect(table.ConsumeChanges(kStart).size() == 1);
  table.Check(Numbered(1), kStart + 29'000);
  cr_expect(table.ConsumeChanges(kStart).empty());
  table.Check(Numbered(1), kStart + 31'000);
  cr_expect(table.ConsumeChanges(kStart).size() == 1);
  cr_expect(table.Check(Numbered(1), kStart + 620'000).action == Action::kBlocked);
}

// Guards against two processes that send each other the same reports endlessly.
Test(suspect_table, does_not_forward_reports_merged_without_forwarding) {
  SuspectTable source({});
  SuspectTable table({});
  table.MergeWithoutForwarding(source.AddStrike(Numbered(1), Lost(1, 1), kStart), kStart);
  cr_expect(table.ConsumeChanges(kStart).empty());
  cr_expect(table.LostUpstreamCount(Numbered(1), kStart) == 1);
  table.AddStrike(Numbered(2), Lost(1, 1), kStart);
  table.MergeWithoutForwarding(source.AddStrike(Numbered(2), Lost(2, 2), kStart), kStart);
  cr_expect(table.ConsumeChanges(kStart).size() == 1);
}

// Guards against an old report that restores an expired block.
Test(suspect_table, ignores_expired_reports) {
  SuspectTable table({});
  table.AddStrike(Numbered(1), Lost(1, 1), kStart);
  const SuspectReport old = table.AddStrike(Numbered(1), Lost(2, 2), kStart);
  SuspectTable other({});
  other.Merge(old, kStart + 600'000);
  cr_assert(other.size() == 0);
}

// Guards against unbounded memory use for requests that succeed.
Test(recent_successes, evicts_the_oldest) {
  RecentSuccesses successes(3);
  for (int i = 0; i < 5; ++i) successes.Add(Numbered(i), {"upstream-1", kStart + i});
  cr_assert(successes.size() == 3);
  cr_assert(successes.Find(Numbered(1)) == nullptr);
  cr_assert((*successes.Find(Numbered(4)))[0].at == kStart + 4);
}

// Guards against different requests with the same fingerprint because the borders of the parts are
// not hashed.
Test(fingerprint, distinguishes_parts) {
  cr_assert(FingerprintOf("a", "b", "c", "d") == FingerprintOf("a", "b", "c", "d"));
  cr_assert(FingerprintOf("a", "b", "cd", "") != FingerprintOf("a", "b", "c", "d"));
  cr_assert(ToHex(Numbered(1)).size() == 64);
}

}  // namespace wagtailpick::safety
