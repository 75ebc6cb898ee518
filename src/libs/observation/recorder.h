#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "observation/observation.h"

namespace wagtailpick::observation {

/// How a request ended at an upstream, as far as it tells about the upstream.
enum class Ending : std::uint8_t { kAnswered, kFailed, kUnknown };

/// Records what an entry sees, to be told in intervals.
class Recorder {
 public:
  /// A request is sent, and its answer is expected after `expected`. Returns its number, for `End`.
  std::uint64_t Begin(const std::string& upstream, base::Duration expected,
                      base::MonotonicTime now);
  void End(std::uint64_t number, Ending ending, base::MonotonicTime now);

  /// What was seen since the last call. A request that is overdue counts as a slow one before it
  /// ends.
  std::vector<Observation> Consume(base::MonotonicTime now);

 private:
  struct Running {
    std::string upstream;
    base::MonotonicTime sent_at;
    base::Duration expected{};
    /// It was overdue and has been counted.
    bool counted = false;
  };

  Observation& At(const std::string& upstream);

  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Running> running_;
  std::map<std::string, Observation> seen_;
};

}  // namespace wagtailpick::observation
