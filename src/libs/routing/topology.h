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

/// What `Topology` is built from.
struct TopologySpec {
  /// Region of each data centre; regions are numbered from 0 without gaps.
  std::vector<RegionId> region_of_place;
  /// One-way latency between two data centres of a region.
  base::Duration within_region{1'000};
  /// Regions without a link in both directions can't serve for each other.
  std::vector<RegionLink> links;
};

/// Places, their regions and the network latency between them. Immutable once built.
class Topology {
 public:
  Topology() = default;

  /// Fails with `kInvalidArgument` on a region without a place, an unknown region in a link, a link
  /// of a region to itself, a link listed twice, and a negative latency.
  static base::Result<Topology> Build(const TopologySpec& spec);

  std::size_t place_count() const { return region_of_place_.size(); }
  std::size_t region_count() const { return places_.size(); }

  RegionId RegionOf(PlaceId place) const { return region_of_place_[place]; }
  std::span<const PlaceId> PlacesOf(RegionId region) const { return places_[region]; }

  /// Regions that `region` has links with in both directions, nearest first.
  std::span<const RegionId> RegionsByLatency(RegionId region) const { return by_latency_[region]; }

  /// Network time there and back between two places; `kUnreachable` without links.
  base::Duration RoundTrip(PlaceId from, PlaceId to) const;
  base::Duration RegionRoundTrip(RegionId from, RegionId to) const {
    return round_trip_[static_cast<std::size_t>(from) * places_.size() + to];
  }

  /// Larger than any network time.
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
