#pragma once

#include <algorithm>

#include "base/monotonic_time.h"

namespace wagtailpick::cluster {

/// How long an attempt to connect may take. The first packet to a VM that isn't up yet is lost
/// without a sign, and sent again only after a second; a new attempt is sooner. The limit grows
/// where attempts keep running into it, as the link may be slow.
class ConnectTimeout {
 public:
  base::Duration current() const { return current_; }

  void RecordTimeout() { current_ = std::min(current_ * 2, kLongest); }
  void RecordConnected() { current_ = kFirst; }

 private:
  /// Several round trips between regions.
  static constexpr base::Duration kFirst = std::chrono::milliseconds(180);
  static constexpr base::Duration kLongest = std::chrono::milliseconds(1'000);

  base::Duration current_ = kFirst;
};

}  // namespace wagtailpick::cluster
