#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::processes {

/// Values of a test bundle that tests vary.
struct BundleOptions {
  std::uint64_t version = 1;
  /// Bundles of the same version with different variants differ in `answer_lifetime_ms`.
  unsigned variant = 0;
  unsigned deadline_ms = 2'000;
};

/// JSON of a bundle with three regions and the services `listings` and `payment`.
std::string TestBundle(const BundleOptions& options);

}  // namespace wagtailpick::processes
