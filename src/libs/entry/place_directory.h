#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "bundle/bundle.h"
#include "routing/block_table.h"
#include "routing/drain_set.h"
#include "routing/ids.h"
#include "routing/topology.h"

namespace wagtailpick::entry {

/// The names of a bundle as the numbers that the routing library works with, and the tables built
/// from it. Immutable.
class PlaceDirectory {
 public:
  /// Builds the directory of a valid bundle. Fails with `kInvalidArgument` when a table can't be
  /// built from it.
  static base::Result<std::shared_ptr<const PlaceDirectory>> Build(const bundle::Bundle& bundle);

  std::shared_ptr<const routing::Topology> topology() const { return topology_; }
  const routing::DrainSet& drains() const { return drains_; }
  std::size_t service_count() const { return services_.size(); }

  std::optional<routing::PlaceId> PlaceOf(const std::string& data_centre) const;
  std::optional<routing::ServiceId> ServiceOf(const std::string& service) const;
  std::optional<routing::RegionId> RegionOf(const std::string& region) const;
  const std::string& PlaceName(routing::PlaceId place) const { return place_names_.at(place); }
  const std::string& ServiceName(routing::ServiceId service) const {
    return service_names_.at(service);
  }
  const std::string& RegionName(routing::RegionId region) const { return region_names_.at(region); }

  /// Returns the match of the client block that covers `address`; nothing when none does.
  std::optional<routing::BlockMatch> FindHome(const std::string& address) const;

 private:
  PlaceDirectory(std::size_t places, std::size_t services) : drains_(places, services) {}

  base::Result<void> BuildTables(const bundle::Bundle& bundle);

  std::shared_ptr<const routing::Topology> topology_;
  std::map<std::string, routing::RegionId> regions_;
  std::map<std::string, routing::PlaceId> places_;
  std::map<std::string, routing::ServiceId> services_;
  std::vector<std::string> place_names_;
  std::vector<std::string> service_names_;
  std::vector<std::string> region_names_;
  routing::DrainSet drains_;
  routing::BlockTable blocks_;
};

using PlaceDirectoryPtr = std::shared_ptr<const PlaceDirectory>;

}  // namespace wagtailpick::entry
