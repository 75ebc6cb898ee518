#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace wagtailpick::claims {

/// Virtual time and the events that are due in it, in a fixed order for each seed.
class EventQueue {
 public:
  using Task = std::function<void()>;

  std::int64_t now() const { return now_; }
  std::uint64_t events() const { return events_; }

  void After(std::int64_t delay_ms, Task task) {
    queue_.push({now_ + delay_ms, next_++, std::move(task)});
  }

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

  // The start of virtual time is an ordinary wall-clock time, far from 0.
  std::int64_t now_ = 1'700'000'000'000;
  std::uint64_t next_ = 0;
  std::uint64_t events_ = 0;
  std::priority_queue<Event> queue_;
};

/// Random choices of one seed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a number from `low` to `high`.
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(high - low + 1));
  }
  std::size_t Below(std::size_t end) { return static_cast<std::size_t>(engine_() % end); }
  bool Chance(int percent) { return Between(0, 99) < percent; }
  std::uint64_t Next() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// A network that loses, delays, duplicates and so reorders messages.
class LossyNetwork {
 public:
  /// `late_percent` of the messages come later than the rest.
  LossyNetwork(EventQueue& queue, RandomSource& dice, int late_percent)
      : queue_(queue), dice_(dice), late_percent_(late_percent) {}

  void Send(const EventQueue::Task& deliver) {
    const int copies = dice_.Chance(6) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (dice_.Chance(5)) continue;
      const std::int64_t delay =
          dice_.Chance(late_percent_) ? dice_.Between(50, 1500) : dice_.Between(1, 40);
      queue_.After(delay, deliver);
    }
  }

 private:
  EventQueue& queue_;
  RandomSource& dice_;
  int late_percent_;
};

}  // namespace wagtailpick::claims
