#include "base/event_loop.h"

#include <exception>
#include <thread>
#include <utility>
#include <vector>

#include "base/bounded_queue.h"

namespace wagtailpick::base {

struct EventLoop::State {
  explicit State(std::size_t capacity) : queue(capacity) {}

  void Run(Duration interval, const Task& tick) {
    std::vector<Task> batch;
    MonotonicTime next_tick = MonotonicNow();
    while (true) {
      batch.clear();
      const Duration wait = std::max(Duration(0), next_tick - MonotonicNow());
      if (!queue.PopAll(batch, wait)) return;
      for (const auto& task : batch) RunTask(task);
      const MonotonicTime now = MonotonicNow();
      if (now < next_tick) continue;
      RunTask(tick);
      next_tick = now + interval;
    }
  }

  void RunTask(const Task& task) const {
    if (!on_failure) return task();
    try {
      task();
    } catch (const std::exception& error) {
      on_failure(error.what());
    }
  }

  BoundedQueue<Task> queue;
  std::function<void(const std::string& cause)> on_failure;
  std::thread thread;
};

EventLoop::EventLoop(std::size_t capacity) : state_(std::make_unique<State>(capacity)) {}

EventLoop::~EventLoop() { Stop(); }

void EventLoop::set_on_failure(std::function<void(const std::string& cause)> callback) {
  state_->on_failure = std::move(callback);
}

void EventLoop::Start(Duration interval, Task tick) {
  state_->thread = std::thread(
      [state = state_.get(), interval, tick = std::move(tick)] { state->Run(interval, tick); });
}

bool EventLoop::TryPost(Task task) { return state_->queue.TryPush(std::move(task)); }

bool EventLoop::Post(Task task) { return state_->queue.Push(std::move(task)); }

void EventLoop::Stop() {
  state_->queue.Close();
  if (state_->thread.joinable()) state_->thread.join();
}

}  // namespace wagtailpick::base
