#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "deployment.h"
#include "routing/summary.h"
#include "routing/upstream_chooser.h"
#include "scenario.h"

namespace wagtailpick::benchmarks {

/// Actual state of one upstream.
struct Upstream {
  routing::UpstreamId id = 0;
  std::uint16_t service = 0;
  routing::PlaceId place = 0;
  routing::EntryId owner = 0;
  std::uint32_t slots = 0;
  std::uint32_t in_use = 0;
  /// Slots usable during slow start; equal to `slots` after it.
  std::uint32_t usable = 0;
  std::uint32_t answers_since_start = 0;
  std::uint32_t idle_connections = 0;
  std::uint32_t incarnation = 0;
  base::MonotonicTime up_at;
  bool crashes = false;
  /// Requests of each region served since the start, with which the caches become warm.
  std::array<double, kRegions> served{};

  bool IsUp(base::MonotonicTime now) const { return now >= up_at; }
  std::uint32_t Free(base::MonotonicTime now) const {
    return IsUp(now) && in_use < usable ? usable - in_use : 0;
  }
};

/// Actual state of one entry VM.
struct EntryVm {
  routing::PlaceId place = 0;
  bool alive = true;
};

/// Upstreams of one service in one data centre that one entry owns.
struct OwnedGroup {
  routing::OwnedPoolKey key;
  std::vector<std::size_t> upstreams;
  routing::UpstreamChooser chooser;
};

/// Actual state of a deployment, as known to the oracle and, for its own upstreams, to each owner.
class Cluster {
 public:
  Cluster(const Deployment& deployment, const Scenario& scenario);

  const Deployment& deployment() const { return deployment_; }
  const Scenario& scenario() const { return scenario_; }
  std::vector<EntryVm>& entries() { return entries_; }
  const std::vector<EntryVm>& entries() const { return entries_; }
  std::vector<Upstream>& upstreams() { return upstreams_; }
  std::vector<OwnedGroup>& groups() { return groups_; }
  std::array<bool, kPlaces>& drained() { return drained_; }

  OwnedGroup& GroupOf(const routing::OwnedPoolKey& key);
  std::uint32_t FreeSlots(const OwnedGroup& group, base::MonotonicTime now) const;
  std::uint32_t TotalSlots(const OwnedGroup& group) const;

  /// Returns the mean time of a request from `region` at `upstream` in its current state, in
  /// microseconds.
  double ExpectedTime(const Upstream& upstream, routing::RegionId region) const;

  routing::RegionId RegionOf(routing::PlaceId place) const {
    return deployment_.topology->RegionOf(place);
  }
  /// Returns the share of free slots of a data centre, averaged over the services.
  double Headroom(routing::PlaceId place, base::MonotonicTime now) const;
  std::uint32_t InUse(routing::PlaceId place) const;

 private:
  const Deployment& deployment_;
  const Scenario& scenario_;
  std::vector<EntryVm> entries_;
  std::vector<Upstream> upstreams_;
  std::vector<OwnedGroup> groups_;
  std::array<bool, kPlaces> drained_{};
};

}  // namespace wagtailpick::benchmarks
