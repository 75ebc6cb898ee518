#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "logging/log.h"

namespace wagtailpick::relay {

/// Returns a duration, in milliseconds, as text for logs.
std::string FormatMillis(base::Duration duration);

/// Writes decisions as log lines, at most `lines_per_second` of each event. The field `left_out` of
/// the next line that is written counts the lines that were dropped before it.
class DecisionLog {
 public:
  explicit DecisionLog(std::uint32_t lines_per_second) : lines_per_second_(lines_per_second) {}

  void Write(logging::Level level, const std::string& event, const std::string& message,
             std::vector<logging::Field> fields, base::MonotonicTime now);

 private:
  struct Window {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  std::uint32_t lines_per_second_;
  std::map<std::string, Window> windows_;
};

}  // namespace wagtailpick::relay
