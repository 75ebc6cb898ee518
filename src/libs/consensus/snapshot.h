#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "consensus/membership.h"

namespace wagtailpick::consensus {

/// The applied state as of a log position. It replaces the log up to and including that position.
struct Snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  Membership membership;
  /// Bytes passed to `Replica::TakeSnapshot`; shared because they can be large. Null means empty.
  std::shared_ptr<const std::string> data;
};

}  // namespace wagtailpick::consensus
