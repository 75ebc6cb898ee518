#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::entry {

/// An upstream that this entry owns.
struct OwnedUpstream {
  rpc::AnnounceRequest announcement;
  std::uint64_t epoch = 0;
  base::MonotonicTime last_seen;
  /// No slot is used before.
  base::MonotonicTime usable_from;
  std::uint32_t busy = 0;
  /// Ends of slots whose request may still run.
  std::vector<base::MonotonicTime> in_doubt;
};

}  // namespace wagtailpick::entry
