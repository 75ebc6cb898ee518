#include "storage/claim_log.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "fake_disk.h"

using wagtailpick::base::Ok;
using wagtailpick::base::Result;
using wagtailpick::storage::ClaimLog;
using wagtailpick::storage::FakeDisk;
using wagtailpick::storage::Fault;

namespace {

using Records = std::vector<std::string>;

bool IsLive(std::string_view record) { return record.size() % 3 != 0; }

Records LiveOf(const Records& records) {
  Records live;
  std::copy_if(records.begin(), records.end(), std::back_inserter(live), IsLive);
  return live;
}

// Runs random appends, syncs and compactions until the crash. `history` ends as the last synced
// state and all later ones.
void RunUntilCrash(FakeDisk& disk, ClaimLog& log, std::mt19937_64& random,
                   std::vector<Records>& history) {
  for (int step = 0; step < 30 && !disk.crashed(); ++step) {
    const auto choice = random() % 8;
    if (choice < 5) {
      history.push_back(history.back());
      history.back().push_back(std::string(random() % 50, static_cast<char>('a' + step)));
      (void)log.Append(history.back().back());
      continue;
    }
    const bool compact = choice == 7;
    if (compact) history.push_back(LiveOf(history.back()));
    const auto done =
        compact ? log.Compact([](auto, auto record) { return IsLive(record); }, [](auto, auto) {})
                : log.Sync();
    if (!done.has_error()) history = {history.back()};
  }
}

bool SurvivesCrashAt(std::uint64_t seed, int at, bool& crashed) {
  FakeDisk disk(seed * 1'000 + static_cast<std::uint64_t>(at));
  std::mt19937_64 random(seed);
  std::vector<Records> history = {{}};
  auto log = ClaimLog::Create(disk.Ops(), "d/claims").value();
  disk.Inject(Fault::kCrash, at);
  RunUntilCrash(disk, log, random, history);
  crashed = disk.crashed();
  disk.Restart();
  Records found;
  const auto opened =
      ClaimLog::Open(disk.Ops(), "d/claims", [&](auto, auto record) -> Result<void> {
        found.emplace_back(record);
        return Ok();
      });
  return !opened.has_error() && std::find(history.begin(), history.end(), found) != history.end();
}

}  // namespace

// Guards against losing a synced claim, after which a charge could run twice.
Test(claim_log, recovers_a_synced_state_after_a_crash_at_every_operation) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    bool crashed = true;
    for (int at = 1; crashed; ++at) cr_assert(SurvivesCrashAt(seed, at, crashed));
  }
}

// Guards against reported offsets that lead to other records after a compaction.
Test(claim_log, compaction_keeps_live_records_and_reports_their_new_offsets) {
  FakeDisk disk(1);
  auto log = ClaimLog::Create(disk.Ops(), "d/claims").value();
  const auto dead = log.Append("released").value();
  const auto live = log.Append("held").value();
  std::uint64_t moved_to = 0;
  const auto keep = [&](auto offset, auto) { return offset != dead; };
  const auto move = [&](auto from, auto to) {
    cr_assert_eq(from, live);
    moved_to = to;
  };
  cr_assert(!log.Compact(keep, move).has_error());
  const std::string record = log.Read(moved_to).value();
  cr_assert_str_eq(record.c_str(), "held");
  cr_assert(log.file_bytes() < live + 100);
}
