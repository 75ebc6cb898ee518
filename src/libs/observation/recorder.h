#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "observation/observation.h"

namespace wagtailpick::observation {

/// How a request ended at an upstream. `kUnknown`: it was given up, so nothing is known but its
/// duration.
enum class Ending : std::uint8_t { kAnswered, kFailed, kUnknown };

/// Records an entry's observations of upstreams, which are consumed at intervals. Not thread-safe.
class Recorder {
 public:
  /// Records that a request was sent whose answer is expected after `expected`. Returns a number to
  /// pass to `End`.
  std::uint64_t Begin(const std::string& upstream, base::Duration expected,
                      base::MonotonicTime now);
  /// Records the end of a request. Ignores unknown numbers.
  void End(std::uint64_t number, Ending ending, base::MonotonicTime now);

  /// Returns and clears the observations since the last call, one for each upstream. An overdue
  /// request is counted as slow before it ends, and then only once.
  std::vector<Observation> Consume(base::MonotonicTime now);

 private:
  struct Running {
    std::string upstream;
    base::MonotonicTime sent_at;
    base::Duration expected{};
    /// Whether it was already counted as slow.
    bool counted = false;
  };

  Observation& At(const std::string& upstream);

  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Running> running_;
  std::map<std::string, Observation> seen_;
};

}  // namespace wagtailpick::observation
