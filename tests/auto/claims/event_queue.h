#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace wagtailpick::claims {

/// Simulated time, in milliseconds, and the tasks that are scheduled in it. Tasks of equal time run
/// in the order of scheduling.
class EventQueue {
 public:
  using Task = std::function<void()>;

  std::int64_t now() const { return now_; }
  /// Number of tasks run so far.
  std::uint64_t events() const { return events_; }

  /// Schedules `task` to run after `delay_ms`.
  void After(std::int64_t delay_ms, Task task) {
    queue_.push({now_ + delay_ms, next_++, std::move(task)});
  }

  /// Runs the tasks up to and including `end`.
  void RunUntil(std::int64_t end) {
    while (!queue_.empty() && queue_.top().at <= end) {
      const Task task = std::move(queue_.top().task);
      now_ = queue_.top().at;
      queue_.pop();
      ++events_;
      task();
    }
  }

 private:
  struct Event {
    std::int64_t at;
    std::uint64_t order;
    mutable Task task;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  // Simulated time starts at a realistic wall-clock time.
  std::int64_t now_ = 1'700'000'000'000;
  std::uint64_t next_ = 0;
  std::uint64_t events_ = 0;
  std::priority_queue<Event> queue_;
};

/// Source of the random choices of one seed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a random number from `low` to `high`, both included.
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(high - low + 1));
  }
  /// Returns a random number from 0 to `end - 1`.
  std::size_t Below(std::size_t end) { return static_cast<std::size_t>(engine_() % end); }
  /// Returns true with a probability of `percent`.
  bool Chance(int percent) { return Between(0, 99) < percent; }
  std::uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// A network that loses, delays, duplicates and reorders messages.
class LossyNetwork {
 public:
  /// `late_percent` of the messages are delayed by up to 1.5 s, the rest by up to 40 ms.
  LossyNetwork(EventQueue& queue, RandomSource& random, int late_percent)
      : queue_(queue), random_(random), late_percent_(late_percent) {}

  /// Runs `deliver` when the message arrives; never if it is lost, twice if it is duplicated.
  void Send(const EventQueue::Task& deliver) {
    const int copies = random_.Chance(6) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (random_.Chance(5)) continue;
      const std::int64_t delay =
          random_.Chance(late_percent_) ? random_.Between(50, 1500) : random_.Between(1, 40);
      queue_.After(delay, deliver);
    }
  }

 private:
  EventQueue& queue_;
  RandomSource& random_;
  int late_percent_;
};

}  // namespace wagtailpick::claims
