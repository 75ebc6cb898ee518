#include "base/event_loop.h"

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
      for (const auto& task : batch) task();
      const MonotonicTime now = MonotonicNow();
      if (now < next_tick) continue;
      tick();
      next_tick = now + interval;
    }
  }

  BoundedQueue<Task> queue;
  std::thread thread;
};

EventLoop::EventLoop(std::size_t capacity) : state_(std::make_unique<State>(capacity)) {}

EventLoop::~EventLoop() { Stop(); }

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
