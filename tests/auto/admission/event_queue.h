#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "sim_clock.h"

namespace wagtailpick::admission {

/// Runs events in the order of their simulated time; events of equal time in the order of posting.
class EventQueue {
 public:
  void Post(SimTime at, std::function<void()> run) {
    events_.push({at, ++posted_, std::move(run)});
  }

  /// Runs the events up to and including `end` and returns how many were run.
  std::uint64_t RunUntil(SimTime end) {
    std::uint64_t count = 0;
    while (!events_.empty() && events_.top().at <= end) {
      // `top` returns a const reference. Moving from it is safe: the item is popped before the
      // queue compares it again.
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
