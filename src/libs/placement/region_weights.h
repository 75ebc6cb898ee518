#pragma once

#include <map>
#include <string>

namespace wagtailpick::placement {

/// Returns the weight of one slot in each region, for weighted rendezvous hashing of the objects
/// that callers in region `own` ask for. The slots of `own` are preferred as far as they suffice
/// for its share of all requests; the rest goes to regions with spare slots. All regions are
/// assumed to send the same number of requests.
///
/// `slots` holds the number of slots of the service by region, only for regions that have any.
/// `regions` is the number of all regions of the system.
std::map<std::string, double> RegionWeights(const std::string& own,
                                            const std::map<std::string, double>& slots,
                                            std::size_t regions);

}  // namespace wagtailpick::placement
