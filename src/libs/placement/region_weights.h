#pragma once

#include <map>
#include <string>

namespace wagtailpick::placement {

/// How the objects of one region's callers are spread over the slots of a service: weight of a slot
/// by region, for weighted rendezvous hashing. The region's own slots come first, as far as they
/// suffice for its part of all requests; the rest goes where slots are left over. All regions are
/// taken to ask for the same.
///
/// `slots` holds the slots of each region that has any; `regions` counts all regions of the system.
std::map<std::string, double> RegionWeights(const std::string& own,
                                            const std::map<std::string, double>& slots,
                                            std::size_t regions);

}  // namespace wagtailpick::placement
