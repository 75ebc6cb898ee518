#include "base/event_loop.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using wagtailpick::base::EventLoop;

namespace {

constexpr auto kLongInterval = std::chrono::hours(1);

}  // namespace

// Guards against tasks that are lost because they were still queued when the loop stopped.
Test(event_loop, runs_queued_tasks_on_stop) {
  EventLoop loop(100);
  std::promise<void> open;
  std::vector<int> order;
  loop.Start(kLongInterval, [] {});
  // The first task blocks the loop until all others are queued.
  loop.Post([&] { open.get_future().wait(); });
  for (int i = 0; i < 50; ++i) cr_assert(loop.Post([&order, i] { order.push_back(i); }));
  std::thread opener([&] { open.set_value(); });
  loop.Stop();
  opener.join();
  cr_assert(order.size() == 50);
  for (int i = 0; i < 50; ++i) cr_expect(order[static_cast<std::size_t>(i)] == i);
}

// Guards against a task that is accepted but never run.
Test(event_loop, rejects_tasks_after_stop) {
  EventLoop loop(10);
  loop.Start(kLongInterval, [] {});
  loop.Stop();
  loop.Stop();
  cr_expect(!loop.Post([] {}));
  cr_expect(!loop.TryPost([] {}));
}

// Guards against blocking the caller's thread under overload.
Test(event_loop, try_post_returns_false_when_the_queue_is_full) {
  EventLoop loop(2);
  cr_expect(loop.TryPost([] {}));
  cr_expect(loop.TryPost([] {}));
  cr_expect(!loop.TryPost([] {}));
}

// Guards against a loop that does not tick without tasks, and against tasks that starve between
// ticks.
Test(event_loop, ticks_periodically_and_runs_tasks_between) {
  EventLoop loop(10);
  std::promise<void> ticked;
  int ticks = 0;
  loop.Start(std::chrono::milliseconds(1), [&] {
    if (++ticks == 3) ticked.set_value();
  });
  ticked.get_future().wait();
  std::promise<void> ran;
  cr_assert(loop.Post([&] { ran.set_value(); }));
  ran.get_future().wait();
  loop.Stop();
  cr_expect(ticks >= 3);
}

// Guards against a task that ends the process, and with it the requests of all other tasks.
Test(event_loop, goes_on_after_a_failed_task) {
  EventLoop loop(10);
  std::vector<std::string> failures;
  loop.set_on_failure([&](const std::string& cause) { failures.push_back(cause); });
  loop.Start(kLongInterval, [] { throw std::runtime_error("failed tick"); });
  bool ran = false;
  cr_assert(loop.Post([] { throw std::runtime_error("failed task"); }));
  cr_assert(loop.Post([&] { ran = true; }));
  loop.Stop();
  cr_expect(ran);
  cr_expect(std::find(failures.begin(), failures.end(), "failed task") != failures.end());
}
