#include "routing/topology.h"

#include <algorithm>
#include <optional>
#include <string>

namespace wagtailpick::routing {
namespace {

constexpr std::size_t kMaxPlaces = 65'535;

std::string NameOf(const RegionLink& link) {
  return "link from region " + std::to_string(link.from) + " to region " + std::to_string(link.to);
}

auto Invalid(std::string message) {
  return base::Fail(base::ErrorCode::kInvalidArgument, std::move(message));
}

}  // namespace

base::Result<Topology> Topology::Build(const TopologySpec& spec) {
  const auto& regions = spec.region_of_place;
  if (regions.empty()) return Invalid("topology without a place");
  if (regions.size() > kMaxPlaces) {
    return Invalid("topology with " + std::to_string(regions.size()) +
                   " places; the limit is 65535");
  }
  if (spec.within_region < base::Duration::zero()) {
    return Invalid(
        "negative latency within a region: " + std::to_string(spec.within_region.count()) + " us");
  }
  Topology topology;
  topology.region_of_place_ = regions;
  topology.places_.resize(std::size_t{*std::max_element(regions.begin(), regions.end())} + 1);
  for (std::size_t place = 0; place < regions.size(); ++place) {
    topology.places_[regions[place]].push_back(static_cast<PlaceId>(place));
  }
  for (std::size_t region = 0; region < topology.places_.size(); ++region) {
    if (topology.places_[region].empty()) {
      return Invalid("region " + std::to_string(region) + " has no place");
    }
  }
  auto filled = topology.FillLatencies(spec);
  if (!filled) return filled.as_failure();
  topology.SortRegions();
  return topology;
}

base::Result<void> Topology::CheckLink(const RegionLink& link, std::size_t regions) {
  if (link.from >= regions || link.to >= regions) return Invalid(NameOf(link) + ": unknown region");
  if (link.from == link.to) return Invalid(NameOf(link) + ": same region");
  if (link.one_way < base::Duration::zero()) return Invalid(NameOf(link) + ": negative latency");
  return base::Ok();
}

base::Result<void> Topology::FillLatencies(const TopologySpec& spec) {
  const std::size_t count = places_.size();
  std::vector<std::optional<base::Duration>> one_way(count * count);
  for (const auto& link : spec.links) {
    auto checked = CheckLink(link, count);
    if (!checked) return checked.as_failure();
    auto& cell = one_way[link.from * count + link.to];
    if (cell) return Invalid(NameOf(link) + ": listed twice");
    cell = link.one_way;
  }
  round_trip_.assign(count * count, kUnreachable);
  for (std::size_t from = 0; from < count; ++from) {
    for (std::size_t to = 0; to < count; ++to) {
      const auto& there = one_way[from * count + to];
      const auto& back = one_way[to * count + from];
      if (there && back) round_trip_[from * count + to] = *there + *back;
    }
    round_trip_[from * count + from] = 2 * spec.within_region;
  }
  return base::Ok();
}

void Topology::SortRegions() {
  const std::size_t count = places_.size();
  by_latency_.resize(count);
  for (std::size_t from = 0; from < count; ++from) {
    for (std::size_t to = 0; to < count; ++to) {
      if (to != from && round_trip_[from * count + to] < kUnreachable) {
        by_latency_[from].push_back(static_cast<RegionId>(to));
      }
    }
    std::stable_sort(by_latency_[from].begin(), by_latency_[from].end(),
                     [&](RegionId left, RegionId right) {
                       return round_trip_[from * count + left] < round_trip_[from * count + right];
                     });
  }
}

base::Duration Topology::RoundTrip(PlaceId from, PlaceId to) const {
  if (from == to) return base::Duration::zero();
  return RegionRoundTrip(region_of_place_[from], region_of_place_[to]);
}

}  // namespace wagtailpick::routing
