#pragma once

#include <string>
#include <vector>

namespace wagtailpick::bundle {

/// A region and its data centres.
struct Region {
  std::string name;
  std::vector<std::string> data_centres;
};

}  // namespace wagtailpick::bundle
