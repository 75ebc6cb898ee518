#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::processes {

/// JSON of a bundle with three regions and the services `listings` and `payment`. Bundles of equal
/// version and different `variant` differ in one limit.
std::string TestBundle(std::uint64_t version, unsigned variant = 0);

}  // namespace wagtailpick::processes
