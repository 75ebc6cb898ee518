#include "routing/place_chooser.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <utility>

namespace wagtailpick::routing {
namespace {

// Bounds the cost of a choice. A region has 130 to 140 data centres at the target size; half of
// them contain a good candidate almost as surely as all of them.
constexpr std::size_t kMaxScanned = 64;
// Lower, as a shift or a doubtful candidate is looked for after a scan of the home region.
constexpr std::size_t kMaxScannedExtra = 16;
// With less than half a slot, a request would more likely be shed than served.
constexpr float kMinFreeSlots = 0.5F;
// Pools whose costs differ by less than the sum of both margins (relative, and in microseconds) are
// treated as equal and share the load.
constexpr float kEqualMargin = 0.05F;
constexpr float kEqualMarginUs = 250;
// Cost of a shed request besides the network: the refusal at the owner and the next choice.
constexpr float kShedCostUs = 500;

// Returns a uniformly distributed number in [0, 1).
double RandomFraction(const RandomSource& random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random() >> 11U) * kScale;
}

}  // namespace

// Eligible pools of one region with their free slots and costs in microseconds. The first `count`
// elements of the arrays are valid; `row` holds indexes into `rows`.
struct PlaceChooser::Scan {
  std::span<const OwnedPool> rows;
  std::array<std::uint16_t, kMaxScanned> row;
  std::array<float, kMaxScanned> free;
  std::array<float, kMaxScanned> cost;
  std::size_t count = 0;
  float least_cost = 0;
  // Whether an eligible pool was skipped because it has too few free slots.
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

// Adds the eligible pools with enough free slots among the rows [begin, end) to `scan`.
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

// Scans the rows of this entry and a random section of the others.
void PlaceChooser::FillScan(const ChoiceRequest& request, RegionId region,
                            std::span<const OwnedPool> rows, const RandomSource& random,
                            base::MonotonicTime now, Scan& scan) const {
  scan.rows = rows;
  scan.count = 0;
  scan.least_cost = std::numeric_limits<float>::max();
  // This entry's own pools are the first rows and are always scanned.
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

// Power of two choices: draws two pools weighted by free slots and picks the one with the higher
// share of free slots, so that entries with the same information do not all choose the same owner.
std::size_t PlaceChooser::Pick(const Scan& scan, const RandomSource& random) const {
  const bool latency = rules_.policy == Policy::kLatency;
  const float limit = latency ? scan.least_cost * (1.0F + kEqualMargin) + kEqualMarginUs
                              : std::numeric_limits<float>::max();
  // Cumulative weights. A pool whose cost exceeds the limit has weight 0 and is never drawn.
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
    // Rounding can make the drawn value equal to the sum; the last pool with a weight is used then.
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
  if (hooks_.try_reserve_link && hooks_.try_reserve_link(here, region, request.link_bytes, now)) {
    return true;
  }
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
  // Bytes were reserved for one request, so there is only one candidate across a link.
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
  // Starts with a random one of several equally near regions, so that shifts spread over them.
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

// Chooses a pool of the home region that has no free slot by its last report. A report is a
// snapshot: a full data centre can have free slots again after a few milliseconds, and its owner
// decides by exact counts. Such an attempt costs a round trip within the region, which is less than
// a shift, so it is made with the probability of finding a free slot.
bool PlaceChooser::ChooseDoubtful(const ChoiceRequest& request, std::span<const OwnedPool> rows,
                                  const RandomSource& random, base::MonotonicTime now,
                                  Choice& choice) const {
  std::array<float, kMaxScannedExtra> expected_free{};
  const std::size_t scanned = std::min(rows.size(), kMaxScannedExtra);
  const std::size_t left_out = rows.size() - scanned;
  rows = rows.subspan(left_out == 0 ? 0 : random() % (left_out + 1), scanned);
  float sum = 0;
  float max_probability = 0;
  for (std::size_t i = 0; i < scanned; ++i) {
    if (rows[i].local || !IsEligible(request, rows[i])) continue;
    // Once reports have stopped, only the accept rate of this entry's own requests is known.
    const bool silent = now - rows[i].received > kStaleSummary;
    const float share = silent ? 1.0F : rows[i].mean_free_share;
    const float accept_rate = rows[i].AcceptRate(now);
    expected_free[i] = share * rows[i].total_slots * accept_rate;
    sum += expected_free[i];
    max_probability = std::max(max_probability, std::min(accept_rate, expected_free[i]));
  }
  // A second attempt is always made: the retry budget was charged for it, and the alternative is a
  // refusal.
  const bool makes_attempt =
      !request.attempted.empty() || static_cast<float>(RandomFraction(random)) < max_probability;
  if (sum <= 0 || !makes_attempt) return false;
  float left = static_cast<float>(RandomFraction(random)) * sum;
  std::size_t picked = 0;
  for (std::size_t i = 0; i < scanned && left >= 0; ++i) {
    if (expected_free[i] <= 0) continue;
    picked = i;
    left -= expected_free[i];
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
  // A doubtful pool is the last resort of a second attempt, as there is no third one.
  const bool allows_doubtful = home == topology_->RegionOf(request.here);
  const bool first_attempt = request.attempted.empty();
  if (allows_doubtful && first_attempt && ChooseDoubtful(request, rows, random, now, choice)) {
    return choice;
  }
  choice.reason = scan.has_full_pool || scan.count > 0 ? ChoiceReason::kNoFreeSlot
                                                       : ChoiceReason::kHomeUnavailable;
  ChooseOther(request, table, random, now, choice);
  if (choice.count == 0 && allows_doubtful && !first_attempt) {
    ChooseDoubtful(request, rows, random, now, choice);
  }
  return choice;
}

}  // namespace wagtailpick::routing
