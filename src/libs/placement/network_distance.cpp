#include "placement/network_distance.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailpick::placement {
namespace {

// Used until a connection to the data centre was timed.
constexpr base::Duration kNear = std::chrono::microseconds(300);
constexpr base::Duration kSameRegion = std::chrono::milliseconds(2);
constexpr base::Duration kOtherRegion = std::chrono::milliseconds(60);

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
  const auto found = measured_.find(data_centre);
  if (found != measured_.end()) return found->second;
  switch (DistanceTo(data_centre)) {
    case Distance::kSameDataCentre:
      return kNear;
    case Distance::kSameRegion:
      return kSameRegion;
    case Distance::kOtherRegion:
      break;
  }
  return kOtherRegion;
}

// The shortest time is the one without queues; it may rise slowly, as paths change.
void NetworkDistance::RecordConnectTime(const std::string& data_centre, base::Duration time) {
  auto& known = measured_.try_emplace(data_centre, time).first->second;
  known = std::min(time, known + known / 20);
}

}  // namespace wagtailpick::placement
