#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "base/bounded_queue.h"
#include "logging/log.h"

namespace wagtailpick::logging {

/// One log line before it is rendered.
struct Line {
  Level level = Level::kInfo;
  std::string event;
  std::string message;
  std::vector<Field> fields;
};

/// Writes lines on a thread of its own, from a ring that drops new lines while it is full.
class BackgroundWriter {
 public:
  explicit BackgroundWriter(std::function<void(const Line&)> write);
  ~BackgroundWriter();
  BackgroundWriter(const BackgroundWriter&) = delete;
  BackgroundWriter& operator=(const BackgroundWriter&) = delete;

  /// Queues a line without waiting.
  void Add(Line line);

  /// Writes what is queued, for a short time at most. Returns whether the writer has ended; if not,
  /// its output doesn't take any more.
  bool Stop();

 private:
  struct State;
  static void Run(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace wagtailpick::logging
