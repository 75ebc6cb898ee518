#pragma once

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "cluster.h"
#include "routing/link_budget.h"
#include "routing/place_chooser.h"
#include "routing/summary_table.h"
#include "shift/shift_controller.h"

namespace wagtailpick::benchmarks {

/// Replaces the leader's grants: divides each shift cap and link share among the entries of the
/// sending region, or among those of the receiving region once the home region is lost.
class ShareAllocator {
 public:
  /// Shift cap of each pair of regions as a share of the capacity of one region.
  static constexpr double kCapShare = 0.4;

  explicit ShareAllocator(const Cluster& cluster);

  /// Divides all caps and links among the entries that are alive.
  void Grant();

  /// Sets all levels to the whole share, for strategies that do not pace shifts.
  void ForceAll(base::MonotonicTime now);

  /// Returns the hooks that reserve from the shares of `entry`.
  routing::ShareHooks HooksOf(routing::EntryId entry);

  /// Adjusts the levels of `entry` by its summaries of the other regions.
  void Tick(routing::EntryId entry, const routing::SummaryTable& table, base::MonotonicTime now);

  /// Sets the levels of `entry` for the lost region `lost` by the plan of a forced shift.
  void ApplyForcedShift(routing::EntryId entry, routing::RegionId lost,
                        const routing::SummaryTable& table, base::MonotonicTime now);

  /// Returns the maximum number of shifted requests in a window of 1,000 ms, as a share of the cap.
  double MaxShiftShare() const;

 private:
  struct Key {
    routing::EntryId entry = 0;
    std::uint16_t service = 0;
    routing::RegionId from = 0;
    routing::RegionId to = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct RegionView {
    std::optional<shift::ShiftMeasurement> measured;
    std::uint32_t free = 0;
    std::uint32_t total = 0;
  };

  std::uint32_t Cap(std::uint16_t service) const;
  void GrantCap(const Key& pair);
  void GrantLink(routing::RegionId from, routing::RegionId to);
  RegionView ViewOf(const Key& key, const routing::SummaryTable& table, base::MonotonicTime now);

  const Cluster& cluster_;
  std::map<Key, shift::ShiftController> shifts_;
  std::map<Key, routing::LinkBudget> links_;
  std::map<Key, std::vector<base::MonotonicTime>> admitted_;
  std::map<Key, double> warm_us_;
};

}  // namespace wagtailpick::benchmarks
