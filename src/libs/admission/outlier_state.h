#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Ejection of one upstream that answers with errors.
class OutlierState {
 public:
  static constexpr std::uint32_t kWindow = 20;
  static constexpr base::Duration kFirstEjection = std::chrono::seconds(5);
  static constexpr base::Duration kLongestEjection = std::chrono::seconds(60);

  /// Counts an answer or an error.
  void Record(bool error);

  /// True when more than half of the last 20 answers were errors.
  bool ErrorShareTooHigh() const;

  /// Ejects the upstream for 5 s, or twice as long as before when the last ejection ended less than
  /// `kLongestEjection` ago. Forgets the answers, so that it is judged anew afterwards.
  void Eject(base::MonotonicTime now);

  bool ejected(base::MonotonicTime now) const { return now < ejected_until_; }

 private:
  /// One bit per answer, newest lowest, 1 for an error.
  std::uint32_t errors_ = 0;
  base::Duration last_ejection_{};
  base::MonotonicTime ejected_until_ = base::MonotonicTime::min();
};

/// True when one more of `upstreams` may be ejected while `ejected` are: at most a third at once.
constexpr bool MayEjectOneMore(std::uint32_t ejected, std::uint32_t upstreams) {
  return 3 * (std::uint64_t{ejected} + 1) <= upstreams;
}

}  // namespace wagtailpick::admission
