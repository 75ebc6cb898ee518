#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// One direction of the link between two regions.
struct RegionLink {
  RegionId from = 0;
  RegionId to = 0;
  base::Duration one_way{0};
};

/// Input of `Topology::Build`.
struct TopologySpec {
  /// Region of each data centre. Regions must be numbered from 0 without gaps.
  std::vector<RegionId> region_of_place;
  /// One-way latency between two data centres of a region.
  base::Duration within_region{1'000};
  /// Requests can only be shifted between regions that have links in both directions.
  std::vector<RegionLink> links;
};

/// Places, their regions and the network latency between them. Immutable once built.
class Topology {
 public:
  Topology() = default;

  /// Builds a topology. Fails with `kInvalidArgument` if there is no data centre or more than
  /// 65,535, a region has no data centre, a latency is negative, or a link names an unknown region,
  /// leads from a region to itself or is listed twice.
  static base::Result<Topology> Build(const TopologySpec& spec);

  std::size_t place_count() const { return region_of_place_.size(); }
  std::size_t region_count() const { return places_.size(); }

  RegionId RegionOf(PlaceId place) const { return region_of_place_[place]; }
  std::span<const PlaceId> PlacesOf(RegionId region) const { return places_[region]; }

  /// Returns the regions that `region` has links with in both directions, lowest latency first.
  std::span<const RegionId> RegionsByLatency(RegionId region) const { return by_latency_[region]; }

  /// Return the network round trip between two data centres or regions; `kUnreachable` if there are
  /// no links in both directions.
  base::Duration RoundTrip(PlaceId from, PlaceId to) const;
  base::Duration RegionRoundTrip(RegionId from, RegionId to) const {
    return round_trip_[static_cast<std::size_t>(from) * places_.size() + to];
  }

  /// One hour: longer than any round trip.
  static constexpr base::Duration kUnreachable{3'600'000'000};

 private:
  static base::Result<void> CheckLink(const RegionLink& link, std::size_t regions);
  base::Result<void> FillLatencies(const TopologySpec& spec);
  void SortRegions();

  std::vector<RegionId> region_of_place_;
  std::vector<std::vector<PlaceId>> places_;
  std::vector<std::vector<RegionId>> by_latency_;
  std::vector<base::Duration> round_trip_;
};

}  // namespace wagtailpick::routing
