#pragma once

#include <map>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// How far a data centre is, nearest first.
enum class Distance : std::uint8_t { kSameDataCentre, kSameRegion, kOtherRegion };

/// Distances and round-trip times from one data centre to the others. Round-trip times are taken
/// from how long connections took to open.
class NetworkDistance {
 public:
  /// Distances count from `data_centre`; `regions` maps each data centre to its region.
  NetworkDistance(std::string data_centre, std::map<std::string, std::string> regions);

  Distance DistanceTo(const std::string& data_centre) const;
  /// Returns the measured round-trip time, or an assumed one before the first measurement.
  base::Duration RoundTrip(const std::string& data_centre) const;
  /// Returns the region, or the data centre's own name if it belongs to no known region.
  const std::string& RegionOf(const std::string& data_centre) const;
  std::size_t region_count() const { return region_count_; }
  /// The region of this data centre.
  const std::string& region() const { return RegionOf(data_centre_); }

  /// Records how long a connection to `data_centre` took to open.
  void RecordConnectTime(const std::string& data_centre, base::Duration time);

 private:
  std::string data_centre_;
  std::map<std::string, std::string> regions_;
  std::size_t region_count_ = 0;
  std::map<std::string, base::Duration> measured_round_trips_;
};

}  // namespace wagtailpick::placement
