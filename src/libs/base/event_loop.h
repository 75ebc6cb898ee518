#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::base {

/// A thread that runs posted tasks in order and calls a function periodically. State that only the
/// tasks and that function access needs no lock.
class EventLoop {
 public:
  using Task = std::function<void()>;

  /// Creates a loop without a thread, whose queue holds at most `capacity` tasks.
  explicit EventLoop(std::size_t capacity);
  /// Calls `Stop`.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Sets a callback for exceptions that leave a task or the tick: it gets the text, on the loop's
  /// thread, and the loop goes on. Without it they end the process, as they must where half of a
  /// task's work must not be continued. Call it before `Start`.
  void set_on_failure(std::function<void(const std::string& cause)> callback);

  /// Starts the thread. It calls `tick` at once and then whenever `interval` has passed since the
  /// start of the last call; queued tasks run first and can delay a call. Call this only once.
  void Start(Duration interval, Task tick);

  /// Queues `task`; returns false, without waiting, if the queue is full or the loop has stopped.
  /// The caller can then shed load.
  bool TryPost(Task task);

  /// Queues `task`, waiting while the queue is full; returns false once the loop has stopped. With
  /// a full queue this deadlocks on the loop's own thread and on a thread that the loop waits for.
  bool Post(Task task);

  /// Rejects further tasks, runs the queued ones and joins the thread. A second call does nothing.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::base
