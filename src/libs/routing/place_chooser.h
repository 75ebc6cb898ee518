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

/// Functions that reserve shares for a request that leaves a region. A function that is not set
/// counts as a refusal.
struct ShareHooks {
  /// Admits one request of the shift cap; returns false if the share is used up.
  std::function<bool(ServiceId, RegionId from, RegionId to, base::MonotonicTime)> try_admit_shift;
  /// Returns an admission of `try_admit_shift` for a request that was not sent.
  std::function<void(ServiceId, RegionId from, RegionId to, base::MonotonicTime)> return_shift;
  /// Reserves bytes on the link; returns false if they exceed the share.
  std::function<bool(RegionId from, RegionId to, std::uint32_t bytes, base::MonotonicTime)>
      try_reserve_link;
};

/// Rules of the bundle for choices.
struct ChooserRules {
  Policy policy = Policy::kLatency;
  /// Percentage of a pool's slots that a shift must leave free.
  std::uint32_t shift_headroom_percent = 20;
};

/// Chooses the pools to which a request is sent. Its only state are the rules and drains of a
/// bundle, so a new one is created for each bundle.
class PlaceChooser {
 public:
  PlaceChooser(std::shared_ptr<const Topology> topology, ChooserRules rules, DrainSet drains,
               ShareHooks hooks);

  /// Returns candidates of the home region, or one candidate of another region whose shares are
  /// reserved, or none. The caller must return the shares of a candidate that it does not use.
  Choice Choose(const ChoiceRequest& request, const SummaryTable& table, const RandomSource& random,
                base::MonotonicTime now) const;

  const ChooserRules& rules() const { return rules_; }

 private:
  struct Scan;

  // Returns whether a pool is neither drained nor attempted before.
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
  // Reserves the shares that a request to `region` needs. Sets `choice.reason` on failure.
  bool ReserveShares(const ChoiceRequest& request, RegionId region, base::MonotonicTime now,
                     Choice& choice) const;

  std::shared_ptr<const Topology> topology_;
  ChooserRules rules_;
  DrainSet drains_;
  ShareHooks hooks_;
};

}  // namespace wagtailpick::routing
