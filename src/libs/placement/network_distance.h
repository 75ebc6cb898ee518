#pragma once

#include <map>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

enum class Distance : std::uint8_t { kSameDataCentre, kSameRegion, kOtherRegion };

/// Round-trip times to data centres, from the time that connections took.
class NetworkDistance {
 public:
  /// `regions` maps each data centre to its region.
  NetworkDistance(std::string data_centre, std::map<std::string, std::string> regions);

  Distance DistanceTo(const std::string& data_centre) const;
  base::Duration RoundTrip(const std::string& data_centre) const;
  const std::string& RegionOf(const std::string& data_centre) const;
  std::size_t region_count() const { return region_count_; }
  const std::string& region() const { return RegionOf(data_centre_); }

  void RecordConnectTime(const std::string& data_centre, base::Duration time);

 private:
  std::string data_centre_;
  std::map<std::string, std::string> regions_;
  std::size_t region_count_ = 0;
  std::map<std::string, base::Duration> measured_;
};

}  // namespace wagtailpick::placement
