#include "choice_schedule.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "admission/shift_headroom.h"
#include "fixtures.h"
#include "routing/link_budget.h"
#include "routing/place_chooser.h"
#include "shift/shift_controller.h"

namespace wagtailpick::routing {
namespace {

constexpr std::size_t kPlaces = 6;
constexpr std::size_t kRegions = 3;
constexpr std::uint32_t kHeadroom = 20;
constexpr std::uint32_t kBytes = 1'000;
constexpr int kSteps = 400;
constexpr base::Duration kWindow{1'000'000};

using RegionPair = std::pair<RegionId, RegionId>;

struct Entry {
  explicit Entry(std::shared_ptr<const Topology> topology) : table(std::move(topology), 1) {}

  SummaryTable table;
  std::map<RegionPair, shift::ShiftController> shifts;
  std::map<RegionPair, LinkBudget> links;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed), exact_(seed % 2 == 0) {
    for (auto& slots : slots_) slots = 1 + Random(12);
    for (std::size_t i = 0; i < kPlaces; ++i) entries_.emplace_back(topology_);
    for (RegionId from = 0; from < kRegions; ++from) {
      for (RegionId to = 0; to < kRegions; ++to) {
        if (from != to) AssignShares({from, to});
      }
    }
  }

  ScheduleCounts Run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += base::Duration(Random(8'000));
      Finish();
      if (Random(100) == 0) drained_[Random(kPlaces)] = Random(2) == 0;
      if (Random(3) == 0) Report(Random(kPlaces));
      if (Random(10) == 0) Measure();
      Route();
    }
    CountWindows();
    return counts_;
  }

 private:
  std::uint32_t Random(std::uint32_t bound) {
    return static_cast<std::uint32_t>(random_() % bound);
  }

  // Divides a random cap and a random link limit randomly among the entries.
  void AssignShares(const RegionPair& pair) {
    std::uint32_t cap = caps_[pair] = Random(40);
    std::uint32_t link = links_[pair] = Random(40) * kBytes;
    for (std::size_t i = 0; i < kPlaces; ++i) {
      const bool last = i + 1 == kPlaces;
      const std::uint32_t cap_share = last ? cap : Random(cap + 1);
      const std::uint32_t link_share = last ? link : Random(link + 1);
      cap -= cap_share;
      link -= link_share;
      entries_[i].shifts[pair].SetShare(cap_share, At(1'000'000'000));
      entries_[i].shifts[pair].ForceLevel(500, now_);
      entries_[i].links[pair].SetShare(link_share, At(1'000'000'000));
    }
  }

  void Finish() {
    std::erase_if(running_, [&](const auto& request) {
      if (request.second > now_) return false;
      --in_use_[request.first];
      return true;
    });
  }

  Summary ActualSummary(PlaceId place) {
    return SummaryOf(place, slots_[place] - in_use_[place], slots_[place], ++sequence_);
  }

  void Report(std::uint32_t place) {
    Summary summary = ActualSummary(static_cast<PlaceId>(place));
    if (!exact_ && Random(10) == 0) summary.free_slots = summary.total_slots;  // wrong report
    for (std::size_t i = 0; i < kPlaces; ++i) {
      if (i == place || Random(5) == 0) continue;  // lost report
      entries_[i].table.Apply(summary, 2 * kMs, now_ + base::Duration(Random(100'000)));
    }
  }

  void Measure() {
    for (auto& entry : entries_) {
      for (auto& [pair, controller] : entry.shifts) {
        if (Random(2) == 0) continue;
        controller.Tick(
            shift::ShiftMeasurement{now_, Random(20) * kMs, 10 * kMs, Random(100) / 100.0}, now_);
      }
    }
  }

  ShareHooks Hooks(Entry& entry) {
    ShareHooks hooks;
    hooks.try_admit_shift = [&](ServiceId, RegionId from, RegionId to, base::MonotonicTime now) {
      const bool taken = entry.shifts[{from, to}].TryAdmit(now);
      shares_requested_[to] = true;
      return taken;
    };
    hooks.return_shift = [&](ServiceId, RegionId from, RegionId to, base::MonotonicTime now) {
      entry.shifts[{from, to}].CancelAdmission(now);
    };
    hooks.try_reserve_link = [&](RegionId from, RegionId to, std::uint32_t bytes,
                                 base::MonotonicTime now) {
      shares_requested_[to] = true;
      return entry.links[{from, to}].TryReserve(bytes, now);
    };
    return hooks;
  }

  // Returns whether a pool may be chosen: not drained, a free slot and, for shifts, the headroom.
  bool MayServe(const OwnedPool& row, bool shifted) const {
    const float free = row.Free(now_);
    if (drained_[row.place] || free < 0.5F) return false;
    return !shifted || free > row.total_slots * 0.2F;
  }

  bool RegionMayServe(const Entry& entry, RegionId region, RegionId home) const {
    const auto rows = entry.table.Rows(0, region);
    return std::any_of(rows.begin(), rows.end(),
                       [&](const OwnedPool& row) { return MayServe(row, region != home); });
  }

  void Route() {
    const auto here = static_cast<PlaceId>(Random(kPlaces));
    const auto home = Random(4) == 0 ? static_cast<PlaceId>(Random(kPlaces)) : here;
    Entry& entry = entries_[here];
    if (exact_) {
      for (PlaceId place = 0; place < kPlaces; ++place) {
        if (place != here) entry.table.Apply(ActualSummary(place), base::Duration::zero(), now_);
      }
    }
    entry.table.SetLocal(ActualSummary(here), now_);
    DrainSet drains(kPlaces, 1);
    for (PlaceId place = 0; place < kPlaces; ++place) {
      if (drained_[place]) drains.Add({place, std::nullopt});
    }
    shares_requested_.fill(false);
    const auto policy = Random(2) == 0 ? Policy::kLatency : Policy::kHeadroom;
    const PlaceChooser chooser(topology_, {policy, kHeadroom}, drains, Hooks(entry));
    const Choice choice = chooser.Choose(
        {home, here, 0, kBytes, {}}, entry.table, [this] { return random_(); }, now_);
    ++counts_.choices;
    CheckChoice(choice, entry, topology_->RegionOf(home), topology_->RegionOf(here));
    if (choice.count > 0) Send(choice.candidates[0], entry, home, here);
  }

  void CheckChoice(const Choice& choice, const Entry& entry, RegionId home, RegionId here) {
    for (std::size_t i = 0; i < choice.count; ++i) {
      const Candidate& candidate = choice.candidates[i];
      const RegionId region = topology_->RegionOf(candidate.key.place);
      counts_.drained_work += drained_[candidate.key.place] ? 1U : 0U;
      const auto rows = entry.table.Rows(0, region);
      const bool doubtful = candidate.reason == ChoiceReason::kDoubtful;
      const bool listed = std::any_of(rows.begin(), rows.end(), [&](const OwnedPool& row) {
        if (row.entry != candidate.key.entry) return false;
        if (doubtful) return !row.local && region == home && home == here && !drained_[row.place];
        return MayServe(row, region != home);
      });
      const bool home_first =
          region == home || shares_requested_[home] || !RegionMayServe(entry, home, home);
      const bool flags =
          candidate.shifted == (region != home) && candidate.crosses_link == (region != here);
      if (doubtful && RegionMayServe(entry, home, home)) ++counts_.not_eligible;
      counts_.not_eligible += listed && home_first && flags ? 0U : 1U;
    }
    if (choice.count > 0) return;
    ++counts_.refused;
    for (RegionId region = 0; region < kRegions; ++region) {
      // A region that may serve must not be skipped unless its shares were requested and refused.
      if (RegionMayServe(entry, region, home) && !shares_requested_[region]) ++counts_.not_eligible;
    }
  }

  void Send(const Candidate& candidate, Entry& entry, PlaceId home, PlaceId here) {
    const PlaceId place = candidate.key.place;
    const RegionId to = topology_->RegionOf(place);
    const bool local = place == here;
    if (candidate.shifted) shifts_[{topology_->RegionOf(home), to}].push_back(now_);
    if (candidate.crosses_link) crossings_[{topology_->RegionOf(here), to}].push_back(now_);
    if (!local) entry.table.RecordForward(candidate.key, now_);
    const std::uint32_t free = slots_[place] - in_use_[place];
    counts_.shifted += candidate.shifted ? 1U : 0U;
    const bool above = free > 0 && free > 0.2 * slots_[place];
    const bool overloads = candidate.shifted && !above;
    if (exact_ && overloads) ++counts_.region_overloaded;
    const bool admitted =
        candidate.shifted ? admission::ShiftFitsHeadroom(free, slots_[place], kHeadroom) : free > 0;
    if (!admitted) {
      entry.table.RecordShed(candidate.key, now_, now_);
      return;
    }
    if (overloads) ++counts_.region_overloaded;
    ++in_use_[place];
    running_.emplace_back(place, now_ + base::Duration(Random(60'000)));
  }

  static std::uint64_t CountExceeded(const std::vector<base::MonotonicTime>& sent,
                                     std::size_t limit) {
    std::uint64_t exceeded = 0;
    for (std::size_t i = limit; i < sent.size(); ++i) {
      if (sent[i] - sent[i - limit] < kWindow) ++exceeded;
    }
    return exceeded;
  }

  void CountWindows() {
    for (const auto& [pair, sent] : shifts_) {
      counts_.cap_exceeded += CountExceeded(sent, caps_[pair]);
    }
    for (const auto& [pair, sent] : crossings_) {
      counts_.link_exceeded += CountExceeded(sent, links_[pair] / kBytes);
    }
  }

  std::shared_ptr<const Topology> topology_ = ThreeRegions();
  std::mt19937_64 random_;
  bool exact_;
  base::MonotonicTime now_ = At(10'000);
  std::uint64_t sequence_ = 0;
  std::vector<Entry> entries_;
  std::array<std::uint32_t, kPlaces> slots_{};
  std::array<std::uint32_t, kPlaces> in_use_{};
  std::array<bool, kPlaces> drained_{};
  std::array<bool, kRegions> shares_requested_{};
  std::vector<std::pair<PlaceId, base::MonotonicTime>> running_;
  std::map<RegionPair, std::uint32_t> caps_;
  std::map<RegionPair, std::uint32_t> links_;
  std::map<RegionPair, std::vector<base::MonotonicTime>> shifts_;
  std::map<RegionPair, std::vector<base::MonotonicTime>> crossings_;
  ScheduleCounts counts_;
};

}  // namespace

ScheduleCounts& ScheduleCounts::operator+=(const ScheduleCounts& other) {
  choices += other.choices;
  shifted += other.shifted;
  refused += other.refused;
  cap_exceeded += other.cap_exceeded;
  link_exceeded += other.link_exceeded;
  region_overloaded += other.region_overloaded;
  drained_work += other.drained_work;
  not_eligible += other.not_eligible;
  return *this;
}

ScheduleCounts RunChoiceSchedule(std::uint64_t seed) { return Simulation(seed).Run(); }

}  // namespace wagtailpick::routing
