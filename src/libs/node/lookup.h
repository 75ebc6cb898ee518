#pragma once

#include <string>
#include <vector>

#include "placement/network_distance.h"

namespace wagtailpick::node {

/// An entry that takes callers.
struct ReadyEntry {
  std::string address;
  std::string data_centre;
};

/// Returns the addresses of the entries near to a caller's data centre: those in it when there are
/// two or more, else those of its region, else all. One address alone would leave a caller without
/// a choice when it fails.
std::vector<std::string> NearestEntries(const std::vector<ReadyEntry>& entries,
                                        const placement::NetworkDistance& from);

}  // namespace wagtailpick::node
