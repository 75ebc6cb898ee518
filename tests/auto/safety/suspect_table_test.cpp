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

LostConnection LostOwner(int upstream, int event) {
  LostConnection lost = Lost(upstream, event);
  lost.owner_session = "entry-1/7";
  return lost;
}

using Steps = void (*)(SuspectTable&, const Fingerprint&);

struct Case {
  const char* guards_against;
  Steps steps;
  WallMillis after;
  Action expected;
};

const std::array cases = std::to_array<Case>({
    {"a request that is refused without a strike", [](SuspectTable&, const Fingerprint&) {}, 0,
     Action::kServe},
    {"a suspect that runs without a trial",
     [](SuspectTable& t, const Fingerprint& f) { t.AddStrike(f, Lost(1, 1), kStart); }, 0,
     Action::kTrial},
    {"a third upstream",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     0, Action::kBlocked},
    {"a block by several copies lost with one upstream",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(1, 2), kStart);
     },
     0, Action::kTrial},
    {"a restarted upstream that counts as the same",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1, 1), kStart);
       t.AddStrike(f, Lost(1, 2, 2), kStart);
     },
     0, Action::kBlocked},
    {"a block by the loss of one owner",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, LostOwner(1, 1), kStart);
       t.AddStrike(f, LostOwner(2, 2), kStart);
       t.AddStrike(f, Lost(2, 3), kStart);
     },
     0, Action::kTrial},
    {"a suspicion that outlives a successful trial",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddSuccess(f, "upstream-2", kStart);
     },
     60'001, Action::kServe},
    {"a second strike that is taken for a first after a success",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddSuccess(f, "upstream-3", kStart);
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     0, Action::kBlocked},
    {"a common request that waits for a trial",
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
    {"a success of the lost upstream that counts as one elsewhere",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddSuccess(f, "upstream-1", kStart);
       t.AddStrike(f, Lost(1, 1), kStart);
     },
     0, Action::kTrial},
    {"a strike for an upstream that lives",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.WithdrawStrikes({"upstream-1", 1}, 12, kStart);
     },
     0, Action::kServe},
    {"an announcement sent before the crash that withdraws the strike",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.WithdrawStrikes({"upstream-1", 1}, 11, kStart);
     },
     0, Action::kTrial},
    {"a restart that withdraws the strike",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.WithdrawStrikes({"upstream-1", 2}, 12, kStart);
     },
     0, Action::kTrial},
    {"a trial whose entry died with its upstream",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddUnresolvedTrial(f, t.Check(f, kStart).trial_key, kStart);
     },
     0, Action::kBlocked},
    {"a block that ends early",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     599'999, Action::kBlocked},
    {"a block without end",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
     },
     600'000, Action::kServe},
    {"a block that isn't renewed by a refused attempt",
     [](SuspectTable& t, const Fingerprint& f) {
       t.AddStrike(f, Lost(1, 1), kStart);
       t.AddStrike(f, Lost(2, 2), kStart);
       t.Check(f, kStart + 500'000);
     },
     1'099'999, Action::kBlocked},
    {"a suspicion that outlives the claim of its trial",
     [](SuspectTable& t, const Fingerprint& f) { t.AddStrike(f, Lost(1, 1), kStart); }, 590'000,
     Action::kServe},
});

/// Reports of several entries about one fingerprint, some of them contradictory.
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

Test(suspect_table, rules_as_the_table_says) {
  for (const Case& c : cases) {
    SuspectTable table({});
    c.steps(table, Numbered(1));
    const Action action = table.Check(Numbered(1), kStart + c.after).action;
    cr_assert(action == c.expected, "%s: %s", c.guards_against,
              std::string(ToString(action)).c_str());
  }
}

// Guards against entries that rule differently for ever because of the order of their messages.
Test(suspect_table, merges_do_not_depend_on_order_or_repetition) {
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

// Guards against a sender that never learns what the receiver knows, and against endless replies.
Test(suspect_table, a_merge_tells_the_sender_what_it_lacks) {
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

// Guards against memory without bound, and against blocked requests that are forgotten first.
Test(suspect_table, suspects_are_dropped_before_blocked_ones) {
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

// Guards against a bound of three lost upstreams that blocks after two, and against losses that
// several entries saw and that aren't counted together.
Test(suspect_table, losses_of_several_entries_block_at_the_limit) {
  SuspectLimits limits;
  limits.strikes_to_block = 3;
  SuspectTable merged(limits);
  for (int i = 1; i <= 3; ++i) {
    cr_expect(merged.Check(Numbered(1), kStart).action != Action::kBlocked);
    SuspectTable entry(limits);
    merged.Merge(entry.AddStrike(Numbered(1), Lost(i, i), kStart), kStart);
    // A second entry saw the same end.
    SuspectTable other(limits);
    merged.Merge(other.AddStrike(Numbered(1), Lost(i, 10 + i), kStart), kStart);
    cr_expect(merged.LostUpstreamCount(Numbered(1), kStart) == static_cast<std::size_t>(i));
  }
  cr_expect(merged.Check(Numbered(1), kStart).action == Action::kBlocked);
  cr_expect(merged.IsBlocking(merged.reports(kStart).at(0)));
}

// Guards against a message to all processes for each attempt of a blocked request, and against a
// block that ends while attempts still come.
Test(suspect_table, blocks_are_renewed_in_steps) {
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

// Guards against two processes that tell each other the same for ever.
Test(suspect_table, what_is_adopted_is_not_told_again) {
  SuspectTable source({});
  SuspectTable table({});
  table.MergeWithoutForwarding(source.AddStrike(Numbered(1), Lost(1, 1), kStart), kStart);
  cr_expect(table.ConsumeChanges(kStart).empty());
  cr_expect(table.LostUpstreamCount(Numbered(1), kStart) == 1);
  table.AddStrike(Numbered(2), Lost(1, 1), kStart);
  table.MergeWithoutForwarding(source.AddStrike(Numbered(2), Lost(2, 2), kStart), kStart);
  cr_expect(table.ConsumeChanges(kStart).size() == 1);
}

// Guards against an old report that brings an ended block back.
Test(suspect_table, expired_reports_are_ignored) {
  SuspectTable table({});
  table.AddStrike(Numbered(1), Lost(1, 1), kStart);
  const SuspectReport old = table.AddStrike(Numbered(1), Lost(2, 2), kStart);
  SuspectTable other({});
  other.Merge(old, kStart + 600'000);
  cr_assert(other.size() == 0);
}

// Guards against memory without bound for requests that succeed.
Test(recent_successes, the_oldest_make_room) {
  RecentSuccesses successes(3);
  for (int i = 0; i < 5; ++i) successes.Add(Numbered(i), {"upstream-1", kStart + i});
  cr_assert(successes.size() == 3);
  cr_assert(successes.Find(Numbered(1)) == nullptr);
  cr_assert((*successes.Find(Numbered(4)))[0].at == kStart + 4);
}

// Guards against fingerprints that mix up their parts.
Test(fingerprint, parts_are_kept_apart) {
  cr_assert(FingerprintOf("a", "b", "c", "d") == FingerprintOf("a", "b", "c", "d"));
  cr_assert(FingerprintOf("a", "b", "cd", "") != FingerprintOf("a", "b", "c", "d"));
  cr_assert(ToHex(Numbered(1)).size() == 64);
}

}  // namespace wagtailpick::safety
