#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes lines with the time since the start of the case to a file and to the standard output.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  /// Milliseconds since the start of the case.
  long Millis() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  long started_ms_;
};

/// Milliseconds of the steady clock.
long SteadyMillis();
void SleepMillis(long millis);

}  // namespace review
