#pragma once

#include <functional>
#include <memory>
#include <span>

#include "base/monotonic_time.h"
#include "routing/choice.h"
#include "routing/drain_set.h"
#include "routing/ids.h"
#include "routing/summary_table.h"
#include "routing/topology.h"

namespace wagtailpick::routing {

/// How a choice asks for shares before it leaves a region. A hook that is not set refuses.
struct ShareHooks {
  /// Takes one request of the shift cap; returns false when none is left.
  std::function<bool(ServiceId, RegionId from, RegionId to, base::MonotonicTime)> try_admit_shift;
  /// Gives back what `try_admit_shift` took, for a request that was not sent after all.
  std::function<void(ServiceId, RegionId from, RegionId to, base::MonotonicTime)> return_shift;
  /// Reserves bytes of the link; returns false when they don't fit.
  std::function<bool(RegionId from, RegionId to, std::uint32_t bytes, base::MonotonicTime)>
      try_reserve_link;
};

/// What a choice follows besides the summaries.
struct ChooserRules {
  Policy policy = Policy::kLatency;
  /// Share of a row's slots that a shift leaves free, in percent.
  std::uint32_t shift_headroom_percent = 20;
};

/// Picks the owners to try for a request. Holds no state of its own beyond its rules, so a new one
/// is made for each bundle.
class PlaceChooser {
 public:
  PlaceChooser(std::shared_ptr<const Topology> topology, ChooserRules rules, DrainSet drains,
               ShareHooks hooks);

  /// Returns candidates of the home region, or one candidate of another region for which the shares
  /// have been taken, or none. The caller gives back the shares of a candidate that it doesn't use.
  Choice Choose(const ChoiceRequest& request, const SummaryTable& table, const RandomSource& random,
                base::MonotonicTime now) const;

  const ChooserRules& rules() const { return rules_; }

 private:
  struct Scan;

  bool IsEligible(const ChoiceRequest& request, const OwnedPool& row) const;
  void ScanRows(const ChoiceRequest& request, RegionId region, std::size_t begin, std::size_t end,
                base::MonotonicTime now, Scan& scan) const;
  void FillScan(const ChoiceRequest& request, RegionId region, std::span<const OwnedPool> rows,
                const RandomSource& random, base::MonotonicTime now, Scan& scan) const;
  std::size_t Pick(const Scan& scan, const RandomSource& random) const;
  std::size_t PickNext(const Scan& scan, std::size_t first) const;
  void ChooseHome(const ChoiceRequest& request, const Scan& scan, const RandomSource& random,
                  base::MonotonicTime now, Choice& choice) const;
  void ChooseOther(const ChoiceRequest& request, const SummaryTable& table,
                   const RandomSource& random, base::MonotonicTime now, Choice& choice) const;
  bool ChooseDoubtful(const ChoiceRequest& request, std::span<const OwnedPool> rows,
                      const RandomSource& random, base::MonotonicTime now, Choice& choice) const;
  bool ReserveShares(const ChoiceRequest& request, RegionId region, base::MonotonicTime now,
                     Choice& choice) const;

  std::shared_ptr<const Topology> topology_;
  ChooserRules rules_;
  DrainSet drains_;
  ShareHooks hooks_;
};

}  // namespace wagtailpick::routing
