#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/monotonic_time.h"

namespace wagtailpick::base {

/// One thread with one duty. It runs posted tasks in order and a tick at a fixed interval, so the
/// state that only they touch needs no lock.
class EventLoop {
 public:
  using Task = std::function<void()>;

  /// Creates a stopped loop whose ring holds at most `capacity` tasks.
  explicit EventLoop(std::size_t capacity);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Starts the thread; `tick` runs at least once every `interval`.
  void Start(Duration interval, Task tick);

  /// Queues `task`; returns false when the ring is full, so that the caller can shed load.
  bool TryPost(Task task);

  /// Queues `task`, waiting for room; returns false once the loop has stopped. Never call this from
  /// a thread that the loop itself waits for.
  bool Post(Task task);

  /// Runs what is queued, then ends the thread. Safe to call twice.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::base
