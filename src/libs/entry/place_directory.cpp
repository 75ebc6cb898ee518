#include "entry/place_directory.h"

#include <utility>

namespace wagtailpick::entry {
namespace {

using base::Result;

std::size_t CountPlaces(const bundle::Bundle& bundle) {
  std::size_t count = 0;
  for (const auto& region : bundle.regions) count += region.data_centres.size();
  return count;
}

/// Returns the data centres of the region `place`, or `place` itself if it is not a region.
std::vector<std::string> CentresOf(const bundle::Bundle& bundle, const std::string& place) {
  for (const auto& region : bundle.regions) {
    if (region.name == place) return region.data_centres;
  }
  return {place};
}

}  // namespace

Result<PlaceDirectoryPtr> PlaceDirectory::Build(const bundle::Bundle& bundle) {
  std::shared_ptr<PlaceDirectory> directory(
      new PlaceDirectory(CountPlaces(bundle), bundle.services.size()));
  BOOST_OUTCOME_TRY(directory->BuildTables(bundle));
  return PlaceDirectoryPtr(std::move(directory));
}

Result<void> PlaceDirectory::BuildTables(const bundle::Bundle& bundle) {
  routing::TopologySpec spec;
  for (const auto& region : bundle.regions) {
    const auto region_id = static_cast<routing::RegionId>(regions_.size());
    regions_[region.name] = region_id;
    region_names_.push_back(region.name);
    for (const auto& centre : region.data_centres) {
      places_[centre] = static_cast<routing::PlaceId>(place_names_.size());
      place_names_.push_back(centre);
      spec.region_of_place.push_back(region_id);
    }
  }
  for (const auto& link : bundle.links) {
    spec.links.push_back(
        {regions_.at(link.from), regions_.at(link.to), std::chrono::milliseconds(link.one_way_ms)});
  }
  BOOST_OUTCOME_TRY(topology, routing::Topology::Build(spec));
  topology_ = std::make_shared<const routing::Topology>(std::move(topology));
  for (const auto& service : bundle.services) {
    services_[service.name] = static_cast<routing::ServiceId>(service_names_.size());
    service_names_.push_back(service.name);
  }
  for (const auto& drain : bundle.drains) {
    std::optional<routing::ServiceId> service;
    if (!drain.service.empty()) service = services_.at(drain.service);
    for (const auto& centre : CentresOf(bundle, drain.place)) {
      drains_.Add({places_.at(centre), service});
    }
  }
  std::vector<routing::ClientBlock> blocks;
  blocks.reserve(bundle.client_blocks.size());
  for (const auto& block : bundle.client_blocks) {
    const auto centre = CentresOf(bundle, block.place).front();
    BOOST_OUTCOME_TRY(parsed, routing::ParseClientBlock(block.block, places_.at(centre)));
    blocks.push_back(parsed);
  }
  BOOST_OUTCOME_TRY(table, routing::BlockTable::Build(std::move(blocks)));
  blocks_ = std::move(table);
  return base::Ok();
}

std::optional<routing::PlaceId> PlaceDirectory::PlaceOf(const std::string& data_centre) const {
  const auto found = places_.find(data_centre);
  if (found == places_.end()) return std::nullopt;
  return found->second;
}

std::optional<routing::ServiceId> PlaceDirectory::ServiceOf(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  return found->second;
}

std::optional<routing::RegionId> PlaceDirectory::RegionOf(const std::string& region) const {
  const auto found = regions_.find(region);
  if (found == regions_.end()) return std::nullopt;
  return found->second;
}

std::optional<routing::BlockMatch> PlaceDirectory::FindHome(const std::string& address) const {
  const auto parsed = routing::ParseClientAddress(address);
  if (!parsed) return std::nullopt;
  return blocks_.Find(parsed.value());
}

}  // namespace wagtailpick::entry
