#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace wagtailpick::review {

/// The record of a case: one line for each thing that was sent, answered or run, with the seconds
/// since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  /// Appends a line. May be called from any thread.
  void Write(const std::string& line);
  /// Seconds since the start.
  double Now() const;

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::FILE* file_;
};

/// Sleeps for `seconds`.
void Sleep(double seconds);
/// Unix time in milliseconds.
std::int64_t UnixMillis();
/// Whether the case runs with its disruption: true unless the variable TROUBLE is "0".
bool HasTrouble();

}  // namespace wagtailpick::review
