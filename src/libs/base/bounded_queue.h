#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::base {

/// First-in, first-out queue of a fixed capacity between threads. Thread-safe.
template <typename T>
class BoundedQueue {
 public:
  /// Creates an open queue for at most `capacity` items; `capacity` must be above 0.
  explicit BoundedQueue(std::size_t capacity) : slots_(capacity) {}

  /// Adds `item`; returns false, without waiting, if the queue is full or closed.
  bool TryPush(T item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == slots_.size()) return false;
      Store(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Adds `item`, waiting while the queue is full; returns false if the queue is closed.
  bool Push(T item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || size_ < slots_.size(); });
      if (closed_) return false;
      Store(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Appends all queued items to `out` and removes them, waiting up to `timeout` if there are none.
  /// Returns true after a timeout too; returns false if the queue is closed and empty.
  bool PopAll(std::vector<T>& out, Duration timeout) {
    {
      std::unique_lock lock(mutex_);
      not_empty_.wait_for(lock, timeout, [this] { return closed_ || size_ > 0; });
      if (closed_ && size_ == 0) return false;
      while (size_ > 0) out.push_back(Pop());
    }
    not_full_.notify_all();
    return true;
  }

  /// Rejects further items and wakes all waiting threads. Queued items can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

 private:
  void Store(T item) {
    slots_[(first_ + size_) % slots_.size()] = std::move(item);
    ++size_;
  }

  T Pop() {
    T item = std::move(*slots_[first_]);
    slots_[first_].reset();
    first_ = (first_ + 1) % slots_.size();
    --size_;
    return item;
  }

  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<std::optional<T>> slots_;
  std::size_t first_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace wagtailpick::base
