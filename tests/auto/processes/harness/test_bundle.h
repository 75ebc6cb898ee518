#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::processes {

/// What tests vary in a bundle.
struct BundleOptions {
  std::uint64_t version = 1;
  /// Bundles of equal version and different variants differ in one limit.
  unsigned variant = 0;
  unsigned deadline_ms = 2'000;
};

/// JSON of a bundle with three regions and the services `listings` and `payment`.
std::string TestBundle(const BundleOptions& options);

}  // namespace wagtailpick::processes
