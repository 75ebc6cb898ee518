#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "steering.h"

namespace wagtailpick::benchmarks {
namespace {

/// Common part of the simple strategies and the oracle: uses pools of the home region first, then
/// those of the other regions within the shares.
class RegionFirstSteering : public Steering {
 public:
  explicit RegionFirstSteering(const SteeringInputs& inputs)
      : cluster_(inputs.cluster), random_(inputs.seed) {
    for (routing::EntryId i = 0; i < cluster_.entries().size(); ++i) {
      hooks_.push_back(inputs.shares.HooksOf(i));
      known_alive_.push_back(true);
    }
  }

  routing::Choice Choose(routing::EntryId entry, const routing::ChoiceRequest& request,
                         base::MonotonicTime now) override {
    routing::Choice choice;
    BeginChoice(entry, request.service);
    const auto home = cluster_.RegionOf(request.home);
    std::array<routing::RegionId, kRegions> order{home, 0, 0};
    order[1] = static_cast<routing::RegionId>((home + 1) % kRegions);
    order[2] = static_cast<routing::RegionId>((home + 2) % kRegions);
    if (random_() % 2 == 0) std::swap(order[1], order[2]);
    for (const auto region : order) {
      std::vector<OwnedGroup*> groups;
      for (auto& group : cluster_.groups()) {
        if (Usable(group, request, region, now)) groups.push_back(&group);
      }
      if (groups.empty() || !ReserveShares(entry, request, region, now)) continue;
      const bool shifted = region != home;
      Add(choice, PickGroup(groups, entry, home, now), entry, shifted);
      if (!shifted && !choice.candidates[0].crosses_link && groups.size() > 1) {
        std::erase_if(groups,
                      [&](const auto* group) { return group->key == choice.candidates[0].key; });
        Add(choice, PickGroup(groups, entry, home, now), entry, shifted);
      }
      return choice;
    }
    return choice;
  }

  void HandleRegionLost(routing::RegionId, base::MonotonicTime) override {
    for (std::size_t i = 0; i < known_alive_.size(); ++i) {
      known_alive_[i] = cluster_.entries()[i].alive;
    }
  }

 protected:
  virtual void BeginChoice(routing::EntryId, routing::ServiceId) {}
  virtual bool HasRoom(OwnedGroup& group, bool shifted, base::MonotonicTime now) = 0;
  virtual OwnedGroup* PickGroup(const std::vector<OwnedGroup*>& groups, routing::EntryId entry,
                                routing::RegionId home, base::MonotonicTime now) = 0;

  Cluster& cluster_;
  std::mt19937_64 random_;

 private:
  bool Usable(OwnedGroup& group, const routing::ChoiceRequest& request, routing::RegionId region,
              base::MonotonicTime now) {
    const auto& key = group.key;
    if (key.service != request.service || cluster_.RegionOf(key.place) != region) return false;
    if (cluster_.drained()[key.place] || !known_alive_[key.entry]) return false;
    const auto& attempted = request.attempted;
    if (std::find(attempted.begin(), attempted.end(), key) != attempted.end()) return false;
    return HasRoom(group, region != cluster_.RegionOf(request.home), now);
  }

  bool ReserveShares(routing::EntryId entry, const routing::ChoiceRequest& request,
                     routing::RegionId region, base::MonotonicTime now) {
    const auto home = cluster_.RegionOf(request.home);
    const auto here = cluster_.RegionOf(request.here);
    auto& hooks = hooks_[entry];
    const bool shifted = region != home;
    if (shifted && !hooks.try_admit_shift(request.service, home, region, now)) return false;
    if (region == here) return true;
    if (hooks.try_reserve_link(here, region, request.link_bytes, now)) return true;
    if (shifted) hooks.return_shift(request.service, home, region, now);
    return false;
  }

  void Add(routing::Choice& choice, const OwnedGroup* group, routing::EntryId entry, bool shifted) {
    const auto here = cluster_.RegionOf(cluster_.entries()[entry].place);
    auto& candidate = choice.candidates[choice.count++];
    candidate.key = group->key;
    candidate.shifted = shifted;
    candidate.crosses_link = cluster_.RegionOf(group->key.place) != here;
  }

  std::vector<routing::ShareHooks> hooks_;
  std::vector<bool> known_alive_;
};

class NaiveSteering : public RegionFirstSteering {
 public:
  NaiveSteering(Strategy strategy, const SteeringInputs& inputs)
      : RegionFirstSteering(inputs), strategy_(strategy) {}

  std::optional<std::size_t> PickUpstream(OwnedGroup& group, routing::RegionId,
                                          base::MonotonicTime now) override {
    std::vector<std::size_t> free;
    for (const auto i : group.upstreams) {
      if (cluster_.upstreams()[i].Free(now) > 0) free.push_back(i);
    }
    if (free.empty()) return std::nullopt;
    if (strategy_ == Strategy::kRandom) return free[random_() % free.size()];
    if (strategy_ == Strategy::kRoundRobin) {
      return free[round_robin_positions_[{group.key.entry, KeyOf(group.key)}]++ % free.size()];
    }
    return *std::max_element(free.begin(), free.end(), [&](std::size_t left, std::size_t right) {
      return cluster_.upstreams()[left].Free(now) < cluster_.upstreams()[right].Free(now);
    });
  }

  void ApplySummary(routing::EntryId to, const routing::Summary& summary, base::Duration,
                    base::MonotonicTime) override {
    reports_[{to, KeyOf(summary.key)}] = summary;
  }

 protected:
  void BeginChoice(routing::EntryId entry, routing::ServiceId service) override {
    ++round_robin_positions_[{entry, service}];
  }
  bool HasRoom(OwnedGroup&, bool, base::MonotonicTime) override { return true; }

  OwnedGroup* PickGroup(const std::vector<OwnedGroup*>& groups, routing::EntryId entry,
                        routing::RegionId, base::MonotonicTime now) override {
    if (strategy_ == Strategy::kRandom) return groups[random_() % groups.size()];
    const auto service = groups.front()->key.service;
    if (strategy_ == Strategy::kRoundRobin) {
      return groups[round_robin_positions_[{entry, service}] % groups.size()];
    }
    return *std::max_element(groups.begin(), groups.end(), [&](auto* left, auto* right) {
      return ReportedFree(entry, *left, now) < ReportedFree(entry, *right, now);
    });
  }

 private:
  static std::uint32_t KeyOf(const routing::OwnedPoolKey& key) {
    return key.entry * 1'000 + key.place * 100U + key.service;
  }

  double ReportedFree(routing::EntryId entry, const OwnedGroup& group, base::MonotonicTime now) {
    if (group.key.entry == entry) {
      return static_cast<double>(cluster_.FreeSlots(group, now)) / cluster_.TotalSlots(group);
    }
    const auto found = reports_.find({entry, KeyOf(group.key)});
    if (found == reports_.end() || found->second.total_slots == 0) return 0;
    return static_cast<double>(found->second.free_slots) / found->second.total_slots;
  }

  Strategy strategy_;
  std::map<std::pair<routing::EntryId, std::uint32_t>, std::size_t> round_robin_positions_;
  std::map<std::pair<routing::EntryId, std::uint32_t>, routing::Summary> reports_;
};

/// Chooses by the actual state at the time of the choice, including which upstreams crash and how
/// cold their caches are.
class OracleSteering : public RegionFirstSteering {
 public:
  using RegionFirstSteering::RegionFirstSteering;

  std::optional<std::size_t> PickUpstream(OwnedGroup& group, routing::RegionId home,
                                          base::MonotonicTime now) override {
    std::optional<std::size_t> best;
    for (const auto i : group.upstreams) {
      const Upstream& upstream = cluster_.upstreams()[i];
      if (upstream.Free(now) == 0 || upstream.crashes) continue;
      if (!best || Cost(upstream, home) < Cost(cluster_.upstreams()[*best], home)) best = i;
    }
    return best;
  }

 protected:
  bool HasRoom(OwnedGroup& group, bool shifted, base::MonotonicTime now) override {
    if (!cluster_.entries()[group.key.entry].alive) return false;
    const std::uint32_t free = SafeFree(group, now);
    const double reserve = shifted ? kShiftHeadroomPercent / 100.0 : 0;
    return free > reserve * cluster_.TotalSlots(group);
  }

  OwnedGroup* PickGroup(const std::vector<OwnedGroup*>& groups, routing::EntryId entry,
                        routing::RegionId home, base::MonotonicTime now) override {
    const auto& deployment = cluster_.deployment();
    const auto cost = [&](OwnedGroup* group) {
      if (deployment.policy == routing::Policy::kHeadroom) {
        return -static_cast<double>(SafeFree(*group, now)) / cluster_.TotalSlots(*group);
      }
      const auto here = cluster_.entries()[entry].place;
      const auto network = deployment.topology->RoundTrip(here, group->key.place);
      const auto upstream = PickUpstream(*group, home, now);
      return static_cast<double>(network.count()) + Cost(cluster_.upstreams()[*upstream], home);
    };
    return *std::min_element(groups.begin(), groups.end(),
                             [&](auto* left, auto* right) { return cost(left) < cost(right); });
  }

 private:
  std::uint32_t SafeFree(const OwnedGroup& group, base::MonotonicTime now) {
    std::uint32_t free = 0;
    for (const auto i : group.upstreams) {
      const Upstream& upstream = cluster_.upstreams()[i];
      if (!upstream.crashes) free += upstream.Free(now);
    }
    return free;
  }

  double Cost(const Upstream& upstream, routing::RegionId home) const {
    constexpr double kConnectUs = 1'000;
    return cluster_.ExpectedTime(upstream, home) +
           (upstream.idle_connections == 0 ? kConnectUs : 0);
  }
};

}  // namespace

std::unique_ptr<Steering> MakeBaseline(Strategy strategy, const SteeringInputs& inputs) {
  return std::make_unique<NaiveSteering>(strategy, inputs);
}

std::unique_ptr<Steering> MakeOracle(const SteeringInputs& inputs) {
  return std::make_unique<OracleSteering>(inputs);
}

}  // namespace wagtailpick::benchmarks
