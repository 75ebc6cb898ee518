#include "routing/place_chooser.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <utility>

namespace wagtailpick::routing {
namespace {

// Bounds the work of a choice. A region has 130 to 140 places at the target size; half of them hold
// a good one nearly as surely as all.
constexpr std::size_t kMaxScanned = 64;
// A shift and a doubtful try come on top of a scan of the home region.
constexpr std::size_t kMaxScannedExtra = 16;
// Below half a slot a request would more likely be shed than served.
constexpr float kMinFreeSlots = 0.5F;
// Rows whose expected latency differs by less than this count as equal and share the load.
constexpr float kEqualMargin = 0.05F;
constexpr float kEqualMarginUs = 250;
// Time of a refusal at the owner and of the next choice, besides the network.
constexpr float kShedCostUs = 500;

double RandomFraction(const RandomSource& random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random() >> 11U) * kScale;
}

}  // namespace

// Eligible rows of one region with what the policy compares. The arrays are filled up to `count`.
struct PlaceChooser::Scan {
  std::span<const OwnedPool> rows;
  std::array<std::uint16_t, kMaxScanned> row;
  std::array<float, kMaxScanned> free;
  std::array<float, kMaxScanned> cost;
  std::size_t count = 0;
  float least_cost = 0;
  // Whether a row was passed over only because it has no free slot.
  bool has_full_pool = false;

  const OwnedPool& at(std::size_t index) const { return rows[row[index]]; }
};

PlaceChooser::PlaceChooser(std::shared_ptr<const Topology> topology, ChooserRules rules,
                           DrainSet drains, ShareHooks hooks)
    : topology_(std::move(topology)),
      rules_(rules),
      drains_(std::move(drains)),
      hooks_(std::move(hooks)) {}

bool PlaceChooser::IsEligible(const ChoiceRequest& request, const OwnedPool& row) const {
  if (!drains_.empty() && drains_.Contains(row.place, request.service)) return false;
  return request.attempted.empty() ||
         std::none_of(request.attempted.begin(), request.attempted.end(),
                      [&](const OwnedPoolKey& attempted) {
                        return attempted.entry == row.entry && attempted.place == row.place;
                      });
}

// Adds the eligible ones of the rows [begin, end).
void PlaceChooser::ScanRows(const ChoiceRequest& request, RegionId region, std::size_t begin,
                            std::size_t end, base::MonotonicTime now, Scan& scan) const {
  const bool shifted = region != topology_->RegionOf(request.home);
  const auto region_round_trip = static_cast<float>(
      topology_->RegionRoundTrip(topology_->RegionOf(request.here), region).count());
  const float reserve = shifted ? static_cast<float>(rules_.shift_headroom_percent) / 100.0F : 0;
  std::size_t count = scan.count;
  float least_cost = scan.least_cost;
  for (std::size_t i = begin; i < end; ++i) {
    const OwnedPool& row = scan.rows[i];
    if (!IsEligible(request, row)) continue;
    const float free = row.Free(now);
    if (free < kMinFreeSlots || free <= reserve * row.total_slots) {
      scan.has_full_pool = true;
      continue;
    }
    const float round_trip = row.place == request.here ? 0 : region_round_trip;
    const float shed_risk = row.local ? 0 : 1.0F / (1.0F + free);
    const float cost = round_trip + row.latency_us + shed_risk * (round_trip + kShedCostUs);
    scan.row[count] = static_cast<std::uint16_t>(i);
    scan.free[count] = free;
    scan.cost[count] = cost;
    least_cost = std::min(least_cost, cost);
    ++count;
  }
  scan.count = count;
  scan.least_cost = least_cost;
}

void PlaceChooser::FillScan(const ChoiceRequest& request, RegionId region,
                            std::span<const OwnedPool> rows, const RandomSource& random,
                            base::MonotonicTime now, Scan& scan) const {
  scan.rows = rows;
  scan.count = 0;
  scan.least_cost = std::numeric_limits<float>::max();
  // This entry's own rows come first and are always scanned.
  std::size_t own = 0;
  while (own < rows.size() && own < kMaxScanned && rows[own].local) ++own;
  ScanRows(request, region, 0, own, now, scan);
  const bool home = region == topology_->RegionOf(request.home);
  const std::size_t others = std::min(rows.size(), kMaxScanned) - own;
  const std::size_t scanned = home ? others : std::min(others, kMaxScannedExtra);
  const std::size_t left = rows.size() - own - scanned;
  const std::size_t begin = own + (left == 0 ? 0 : random() % (left + 1));
  ScanRows(request, region, begin, begin + scanned, now, scan);
}

// Power of two choices: two picks weighted by free slots, of which the better one is taken, so that
// entries with the same view don't all send to the same owner.
std::size_t PlaceChooser::Pick(const Scan& scan, const RandomSource& random) const {
  const bool latency = rules_.policy == Policy::kLatency;
  const float limit = latency ? scan.least_cost * (1.0F + kEqualMargin) + kEqualMarginUs
                              : std::numeric_limits<float>::max();
  // Running sums of the weights; a row that costs too much adds nothing and can't be drawn.
  std::array<float, kMaxScanned> sums;
  float sum = 0;
  for (std::size_t i = 0; i < scan.count; ++i) {
    sum += scan.cost[i] > limit ? 0.0F : scan.free[i];
    sums[i] = sum;
  }
  const auto draw = [&] {
    const float drawn = static_cast<float>(RandomFraction(random)) * sum;
    const auto end = sums.begin() + static_cast<std::ptrdiff_t>(scan.count);
    const auto above = std::upper_bound(sums.begin(), end, drawn);
    // Rounding can put the draw on the sum itself; the last row with a weight is meant then.
    const auto found = above != end ? above : std::lower_bound(sums.begin(), end, sum);
    return static_cast<std::size_t>(found - sums.begin());
  };
  const std::size_t first = draw();
  const std::size_t second = draw();
  const auto share = [&](std::size_t i) { return scan.free[i] / scan.at(i).total_slots; };
  return share(second) > share(first) ? second : first;
}

std::size_t PlaceChooser::PickNext(const Scan& scan, std::size_t first) const {
  const bool latency = rules_.policy == Policy::kLatency;
  std::size_t best = scan.count;
  float least = std::numeric_limits<float>::max();
  for (std::size_t i = 0; i < scan.count; ++i) {
    const float cost = latency ? scan.cost[i] : -scan.free[i] / scan.at(i).total_slots;
    if (i == first || cost >= least) continue;
    best = i;
    least = cost;
  }
  return best;
}

bool PlaceChooser::ReserveShares(const ChoiceRequest& request, RegionId region,
                                 base::MonotonicTime now, Choice& choice) const {
  const RegionId home = topology_->RegionOf(request.home);
  const RegionId here = topology_->RegionOf(request.here);
  const bool shifted = region != home;
  if (shifted &&
      !(hooks_.try_admit_shift && hooks_.try_admit_shift(request.service, home, region, now))) {
    choice.reason = ChoiceReason::kNoCapShare;
    return false;
  }
  if (region == here) return true;
  if (hooks_.try_reserve_link && hooks_.try_reserve_link(here, region, request.link_bytes, now))
    return true;
  if (shifted && hooks_.return_shift) hooks_.return_shift(request.service, home, region, now);
  choice.reason = ChoiceReason::kNoLinkShare;
  return false;
}

void PlaceChooser::ChooseHome(const ChoiceRequest& request, const Scan& scan,
                              const RandomSource& random, base::MonotonicTime now,
                              Choice& choice) const {
  const RegionId home = topology_->RegionOf(request.home);
  const bool crosses = home != topology_->RegionOf(request.here);
  if (!ReserveShares(request, home, now, choice)) return;
  const auto add = [&](std::size_t i, ChoiceReason reason) {
    const OwnedPool& row = scan.at(i);
    const auto network = topology_->RoundTrip(request.here, row.place);
    choice.candidates[choice.count++] = {
        {row.entry, row.place, request.service},
        reason,
        false,
        crosses,
        network + base::Duration(static_cast<std::int64_t>(row.latency_us))};
  };
  const std::size_t first = Pick(scan, random);
  choice.reason =
      rules_.policy == Policy::kLatency ? ChoiceReason::kLowestLatency : ChoiceReason::kMostFree;
  add(first, choice.reason);
  // One link share was taken, so there is one candidate across a link.
  if (crosses) return;
  const std::size_t next = PickNext(scan, first);
  if (next < scan.count) add(next, ChoiceReason::kNextBest);
}

void PlaceChooser::ChooseOther(const ChoiceRequest& request, const SummaryTable& table,
                               const RandomSource& random, base::MonotonicTime now,
                               Choice& choice) const {
  const RegionId home = topology_->RegionOf(request.home);
  const auto near = topology_->RegionsByLatency(home);
  const bool full = choice.reason == ChoiceReason::kNoFreeSlot;
  const ChoiceReason reason = full ? ChoiceReason::kHomeFull : ChoiceReason::kHomeUnavailable;
  choice.reason = ChoiceReason::kNoFreeSlot;
  Scan scan;
  // Starts at a random region among those equally near, so that shifts spread over them.
  for (std::size_t begin = 0; begin < near.size();) {
    std::size_t end = begin + 1;
    const auto distance = [&](std::size_t i) { return topology_->RegionRoundTrip(home, near[i]); };
    while (end < near.size() && distance(end) == distance(begin)) ++end;
    const std::size_t offset = random() % (end - begin);
    for (std::size_t i = 0; i < end - begin; ++i) {
      const RegionId region = near[begin + (offset + i) % (end - begin)];
      FillScan(request, region, table.Rows(request.service, region), random, now, scan);
      if (scan.count == 0 || !ReserveShares(request, region, now, choice)) continue;
      const OwnedPool& row = scan.at(Pick(scan, random));
      const auto network = topology_->RoundTrip(request.here, row.place);
      choice.candidates[0] = {{row.entry, row.place, request.service},
                              reason,
                              true,
                              region != topology_->RegionOf(request.here),
                              network + base::Duration(static_cast<std::int64_t>(row.latency_us))};
      choice.count = 1;
      choice.reason = reason;
      return;
    }
    begin = end;
  }
}

// A report is a snapshot: a place that was full then has free slots again after a few milliseconds,
// and its owner decides by exact counts. A try costs a round trip within the region, less than a
// shift, so it is made as often as a free slot is likely.
bool PlaceChooser::ChooseDoubtful(const ChoiceRequest& request, std::span<const OwnedPool> rows,
                                  const RandomSource& random, base::MonotonicTime now,
                                  Choice& choice) const {
  std::array<float, kMaxScannedExtra> likely{};
  const std::size_t scanned = std::min(rows.size(), kMaxScannedExtra);
  const std::size_t left_out = rows.size() - scanned;
  rows = rows.subspan(left_out == 0 ? 0 : random() % (left_out + 1), scanned);
  float sum = 0;
  float most = 0;
  for (std::size_t i = 0; i < scanned; ++i) {
    if (rows[i].local || !IsEligible(request, rows[i])) continue;
    // Once reports have stopped, only the outcomes of this entry's own requests say anything.
    const bool silent = now - rows[i].received > kStaleSummary;
    const float share = silent ? 1.0F : rows[i].mean_free_share;
    const float accept_rate = rows[i].AcceptRate(now);
    likely[i] = share * rows[i].total_slots * accept_rate;
    sum += likely[i];
    most = std::max(most, std::min(accept_rate, likely[i]));
  }
  // A second try has been paid for from the retry budget and would else end in a refusal.
  const bool tries =
      !request.attempted.empty() || static_cast<float>(RandomFraction(random)) < most;
  if (sum <= 0 || !tries) return false;
  float left = static_cast<float>(RandomFraction(random)) * sum;
  std::size_t picked = 0;
  for (std::size_t i = 0; i < scanned && left >= 0; ++i) {
    if (likely[i] <= 0) continue;
    picked = i;
    left -= likely[i];
  }
  const OwnedPool& row = rows[picked];
  choice.reason = ChoiceReason::kDoubtful;
  choice.count = 1;
  choice.candidates[0] = {{row.entry, row.place, request.service},
                          choice.reason,
                          false,
                          false,
                          topology_->RoundTrip(request.here, row.place) +
                              base::Duration(static_cast<std::int64_t>(row.latency_us))};
  return true;
}

Choice PlaceChooser::Choose(const ChoiceRequest& request, const SummaryTable& table,
                            const RandomSource& random, base::MonotonicTime now) const {
  Choice choice;
  Scan scan;
  const RegionId home = topology_->RegionOf(request.home);
  const auto rows = table.Rows(request.service, home);
  FillScan(request, home, rows, random, now, scan);
  if (scan.count > 0) ChooseHome(request, scan, random, now, choice);
  if (choice.count > 0) return choice;
  // A second try goes where a free slot is known, as there is no third one.
  const bool doubtful = home == topology_->RegionOf(request.here);
  const bool first_try = request.attempted.empty();
  if (doubtful && first_try && ChooseDoubtful(request, rows, random, now, choice)) return choice;
  choice.reason = scan.has_full_pool || scan.count > 0 ? ChoiceReason::kNoFreeSlot
                                                       : ChoiceReason::kHomeUnavailable;
  ChooseOther(request, table, random, now, choice);
  if (choice.count == 0 && doubtful && !first_try) {
    ChooseDoubtful(request, rows, random, now, choice);
  }
  return choice;
}

}  // namespace wagtailpick::routing
