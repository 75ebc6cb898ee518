#include "placement/network_distance.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailpick::placement {
namespace {

// Round-trip times that are assumed until a connection to the data centre has been timed.
constexpr base::Duration kDefaultSameDataCentre = std::chrono::microseconds(300);
constexpr base::Duration kDefaultSameRegion = std::chrono::milliseconds(2);
constexpr base::Duration kDefaultOtherRegion = std::chrono::milliseconds(60);

}  // namespace

NetworkDistance::NetworkDistance(std::string data_centre,
                                 std::map<std::string, std::string> regions)
    : data_centre_(std::move(data_centre)), regions_(std::move(regions)) {
  std::set<std::string> names;
  for (const auto& [name, region] : regions_) names.insert(region);
  region_count_ = names.size();
}

const std::string& NetworkDistance::RegionOf(const std::string& data_centre) const {
  const auto found = regions_.find(data_centre);
  return found == regions_.end() ? data_centre : found->second;
}

Distance NetworkDistance::DistanceTo(const std::string& data_centre) const {
  if (data_centre == data_centre_) return Distance::kSameDataCentre;
  return RegionOf(data_centre) == region() ? Distance::kSameRegion : Distance::kOtherRegion;
}

base::Duration NetworkDistance::RoundTrip(const std::string& data_centre) const {
  const auto found = measured_round_trips_.find(data_centre);
  if (found != measured_round_trips_.end()) return found->second;
  switch (DistanceTo(data_centre)) {
    case Distance::kSameDataCentre:
      return kDefaultSameDataCentre;
    case Distance::kSameRegion:
      return kDefaultSameRegion;
    case Distance::kOtherRegion:
      break;
  }
  return kDefaultOtherRegion;
}

// Keeps the minimum, which is the time without queues. Each sample may raise it by 5%, so that it
// follows a path that has become longer.
void NetworkDistance::RecordConnectTime(const std::string& data_centre, base::Duration time) {
  auto& known = measured_round_trips_.try_emplace(data_centre, time).first->second;
  known = std::min(time, known + known / 20);
}

}  // namespace wagtailpick::placement
