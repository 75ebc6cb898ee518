#pragma once

#include <string>
#include <vector>

#include "placement/network_distance.h"

namespace wagtailpick::node {

/// An entry that serves callers.
struct ReadyEntry {
  /// Where it serves them, as "ip:port".
  std::string address;
  std::string data_centre;
};

/// Returns the addresses of the entries nearest to a caller's data centre, at most 64: those in the
/// data centre when there are at least two, else those in its region when there are at least two,
/// else all. With a single address, a caller would have no alternative when that entry fails.
std::vector<std::string> NearestEntries(const std::vector<ReadyEntry>& entries,
                                        const placement::NetworkDistance& from);

}  // namespace wagtailpick::node
