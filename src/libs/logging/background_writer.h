#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "base/bounded_queue.h"
#include "logging/log.h"

namespace wagtailpick::logging {

/// A log line that is not yet formatted.
struct Line {
  Level level = Level::kInfo;
  std::string event;
  std::string message;
  std::vector<Field> fields;
};

/// Writes log lines on a background thread. Lines are dropped while the queue is full and when
/// `write` throws; a warning `log_lines_dropped` with their count follows when lines are written
/// again.
class BackgroundWriter {
 public:
  /// Starts the thread, which calls `write` for every line.
  explicit BackgroundWriter(std::function<void(const Line&)> write);
  /// Calls `Stop`.
  ~BackgroundWriter();
  BackgroundWriter(const BackgroundWriter&) = delete;
  BackgroundWriter& operator=(const BackgroundWriter&) = delete;

  /// Queues `line` without waiting, or drops and counts it if the queue is full. Thread-safe.
  void Enqueue(Line line);

  /// Rejects further lines and waits up to `kStopTimeout` until the queued lines are written.
  /// Returns whether the thread has finished; if not, its output is blocked or slow. A further call
  /// does not wait.
  bool Stop();

 private:
  struct State;
  static void Run(const std::shared_ptr<State>& state);
  static void ReportDropped(State& state);

  std::shared_ptr<State> state_;
};

}  // namespace wagtailpick::logging
