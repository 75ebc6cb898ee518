#include "relay/decision_log.h"

#include <utility>

namespace wagtailpick::relay {

std::string FormatMillis(base::Duration duration) {
  return std::to_string(duration.count() / 1'000);
}

void DecisionLog::Write(logging::Level level, const std::string& event, const std::string& message,
                        std::vector<logging::Field> fields, base::MonotonicTime now) {
  auto& window = windows_[event];
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  if (window.second != second) {
    window.second = second;
    window.written = 0;
  }
  if (window.written >= lines_per_second_) {
    ++window.left_out;
    return;
  }
  ++window.written;
  if (window.left_out > 0) {
    fields.push_back({"left_out", std::to_string(std::exchange(window.left_out, 0))});
  }
  logging::Write(level, event, message, fields);
}

}  // namespace wagtailpick::relay
