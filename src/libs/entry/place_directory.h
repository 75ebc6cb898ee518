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

/// Maps the names in a bundle to the indexes that the routing library uses, and holds the routing
/// tables built from the bundle. Immutable.
class PlaceDirectory {
 public:
  /// Builds the directory of a validated bundle. Fails with `kInvalidArgument` if its topology or
  /// client blocks are invalid.
  static base::Result<std::shared_ptr<const PlaceDirectory>> Build(const bundle::Bundle& bundle);

  std::shared_ptr<const routing::Topology> topology() const { return topology_; }
  const routing::DrainSet& drains() const { return drains_; }
  std::size_t service_count() const { return services_.size(); }

  /// Return the index of a name; nothing if the bundle does not contain it.
  std::optional<routing::PlaceId> PlaceOf(const std::string& data_centre) const;
  std::optional<routing::ServiceId> ServiceOf(const std::string& service) const;
  std::optional<routing::RegionId> RegionOf(const std::string& region) const;

  /// Return the name of a valid index.
  const std::string& PlaceName(routing::PlaceId place) const { return place_names_.at(place); }
  const std::string& ServiceName(routing::ServiceId service) const {
    return service_names_.at(service);
  }
  const std::string& RegionName(routing::RegionId region) const { return region_names_.at(region); }

  /// Returns the match of the longest client block that covers the IP address `address`; nothing if
  /// none does or the address is invalid.
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
