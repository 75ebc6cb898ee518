#pragma once

#include <string>

namespace wagtailpick::bundle {

/// A place that gets no new work.
struct Drain {
  /// A region or a data centre.
  std::string place;
  /// The drained service; all services when empty.
  std::string service;
};

}  // namespace wagtailpick::bundle
