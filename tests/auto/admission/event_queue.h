#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "sim_clock.h"

namespace wagtailpick::admission {

/// Runs events in order of true time; equal times in order of posting.
class EventQueue {
 public:
  void Post(SimTime at, std::function<void()> run) {
    events_.push({at, ++posted_, std::move(run)});
  }

  /// Runs the events up to `end` and returns their number.
  std::uint64_t RunUntil(SimTime end) {
    std::uint64_t count = 0;
    while (!events_.empty() && events_.top().at <= end) {
      // The queue gives const access only; the item is popped before anything reads it again.
      Item item = std::move(const_cast<Item&>(events_.top()));
      events_.pop();
      now_ = item.at;
      item.run();
      ++count;
    }
    return count;
  }

  SimTime now() const { return now_; }

 private:
  struct Item {
    SimTime at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Item& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  std::priority_queue<Item> events_;
  std::uint64_t posted_ = 0;
  SimTime now_ = 0;
};

}  // namespace wagtailpick::admission
