#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::bundle {

/// Maximum rate of requests of a service that region `to` may serve for clients of region `from`.
struct ShiftCap {
  std::string service;
  std::string from;
  std::string to;
  std::int64_t requests_per_s = 0;
};

}  // namespace wagtailpick::bundle
