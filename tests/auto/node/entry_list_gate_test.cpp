#include "node/entry_list_gate.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "placement/cold_rate_limiter.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using node::EntryListGate;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(100)};
constexpr milliseconds kReplicaTick{150};
constexpr milliseconds kStep{10};
constexpr std::size_t kEntries = 185;
/// Requests per second that all entries together may send to a cold upstream.
constexpr int kColdRate = 40;

struct SimulatedEntry {
  std::string name;
  base::MonotonicTime connected_at;
  placement::ColdRateLimiter limiter;
  bool has_list = false;
};

/// Entries that connect to a replica within `span` and then send to a cold upstream whenever their
/// share allows it. Returns the largest number of requests in a second.
std::size_t MostRequestsInSecond(base::Duration span, bool with_gate) {
  std::mt19937 random(1);
  std::vector<SimulatedEntry> entries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    const std::string name = "e" + std::to_string(i);
    const base::Duration delay = span * static_cast<int>(random() % 1'000) / 1'000;
    entries.push_back({name, kStart + delay, {name, {1.0, 0.0}}});
  }
  catalog::Service service;
  service.cold_rate = kColdRate;
  EntryListGate gate;
  std::vector<base::MonotonicTime> sent;
  for (auto now = kStart; now < kStart + seconds(12); now += kStep) {
    if ((now - kStart) % kReplicaTick == base::Duration::zero()) {
      std::vector<std::string> list;
      for (const auto& entry : entries) {
        if (entry.connected_at <= now) list.push_back(entry.name);
      }
      gate.Update(list.size(), now);
      for (auto& entry : entries) {
        if (entry.connected_at > now) continue;
        entry.has_list = entry.has_list || !with_gate || gate.IsOpen(now);
        if (entry.has_list) entry.limiter.SetEntries(list);
      }
    }
    for (auto& entry : entries) {
      if (!entry.limiter.Allows("u", service, now)) continue;
      entry.limiter.RecordRequest("u", now);
      sent.push_back(now);
    }
  }
  std::size_t most = 0;
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto end = std::lower_bound(first, sent.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

}  // namespace

// Guards against entries that exceed a shared limit in their first seconds, as each divides it by a
// list that holds only the entries which have connected before.
Test(entry_list_gate, keeps_a_limit_while_entries_connect) {
  for (const auto span : {milliseconds(800), milliseconds(3'000), milliseconds(8'000)}) {
    const auto without = MostRequestsInSecond(span, false);
    const auto most = MostRequestsInSecond(span, true);
    cr_expect(most <= kColdRate, "%zu requests in a second, %zu without the gate", most, without);
    cr_log_info("within %d ms: %zu, without the gate %zu", static_cast<int>(span.count()), most,
                without);
  }
}

// Guards against an entry that is alone and never gets its share.
Test(entry_list_gate, opens_for_a_single_entry) {
  EntryListGate gate;
  gate.Update(1, kStart);
  cr_expect(!gate.IsOpen(kStart));
  gate.Update(1, kStart + seconds(1));
  cr_expect(gate.IsOpen(kStart + seconds(1)));
}

// Guards against entries that wait for the end of a growth that does not end.
Test(entry_list_gate, opens_in_time_while_entries_keep_connecting) {
  EntryListGate gate;
  std::size_t entries = 1;
  for (int tick = 0; tick < 50; ++tick, entries *= 2) {
    gate.Update(std::min<std::size_t>(entries, 1'000'000), kStart + tick * milliseconds(90));
  }
  cr_expect(gate.IsOpen(kStart + seconds(5)));
}

// Guards against an entry that waits without need when it joins or rejoins many.
Test(entry_list_gate, stays_open_when_few_entries_join) {
  EntryListGate gate;
  gate.Update(100, kStart);
  for (const auto entries : {99U, 100U, 110U, 120U}) {
    gate.Update(entries, kStart + seconds(2));
    cr_expect(gate.IsOpen(kStart + seconds(2)), "%u entries", entries);
  }
}

// Guards against half lists when all entries end and start again together, while the replica runs.
Test(entry_list_gate, closes_when_all_entries_connect_again) {
  EntryListGate gate;
  gate.Update(kEntries, kStart);
  gate.Update(0, kStart + seconds(10));
  gate.Update(30, kStart + seconds(11));
  cr_expect(!gate.IsOpen(kStart + seconds(11)));
  gate.Update(kEntries, kStart + seconds(12));
  cr_expect(!gate.IsOpen(kStart + seconds(12)));
  cr_expect(gate.IsOpen(kStart + seconds(13)));
}
