#pragma once

#include <array>
#include <chrono>

namespace wagtailpick::stops {

using std::chrono::milliseconds;

/// One kind of request of the site: how callers send it and how long its work takes.
struct Traffic {
  const char* name;
  const char* method;
  const char* path_prefix;
  const char* service;
  bool idempotent;
  /// Relative frequency.
  double weight;
  milliseconds objective;
  milliseconds deadline;
  milliseconds route_timeout;
  milliseconds mean_work;
};

/// The traffic that the incident's site file describes: listings, payments and photos.
inline constexpr std::array<Traffic, 3> kTraffic{{
    {"listing", "GET", "/listing/", "web", true, 5.3, milliseconds(400), milliseconds(3'000),
     milliseconds(3'000), milliseconds(640)},
    {"payment", "POST", "/payment/", "web", false, 2.1, milliseconds(600), milliseconds(4'000),
     milliseconds(4'000), milliseconds(840)},
    {"photo", "GET", "/photo/", "photos", true, 2.5, milliseconds(1'000), milliseconds(8'000),
     milliseconds(2'000), milliseconds(1'600)},
}};

}  // namespace wagtailpick::stops
