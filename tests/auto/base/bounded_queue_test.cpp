#include "base/bounded_queue.h"

#include <criterion/criterion.h>

#include <thread>
#include <vector>

using wagtailpick::base::BoundedQueue;
using wagtailpick::base::Duration;

// Guards against a queue that grows under overload instead of rejecting items.
Test(bounded_queue, rejects_items_when_full_and_keeps_order) {
  BoundedQueue<int> queue(3);
  std::vector<int> out;
  int next = 0;
  // Several rounds let the items wrap around the end of the buffer.
  for (int round = 0; round < 5; ++round) {
    out.clear();
    const int first = next;
    cr_expect(queue.TryPush(next++));
    cr_expect(queue.TryPush(next++));
    cr_expect(queue.TryPush(next++));
    cr_expect(!queue.TryPush(-1));
    cr_expect(queue.PopAll(out, Duration(0)));
    cr_expect(out == std::vector<int>({first, first + 1, first + 2}));
    // A fourth item moves the start of the next round to another slot of the buffer.
    cr_expect(queue.TryPush(next));
    out.clear();
    cr_expect(queue.PopAll(out, Duration(0)));
    cr_expect(out == std::vector<int>({next++}));
  }
}

// Guards against losing the items that are queued when the queue is closed.
Test(bounded_queue, pops_queued_items_after_close) {
  BoundedQueue<int> queue(3);
  cr_expect(queue.TryPush(1));
  queue.Close();
  cr_expect(!queue.TryPush(2));
  cr_expect(!queue.Push(2));
  std::vector<int> out;
  cr_expect(queue.PopAll(out, Duration(0)));
  cr_expect(out == std::vector<int>({1}));
  cr_expect(!queue.PopAll(out, Duration(0)));
}

// Guards against a producer that waits for ever on a full queue after its consumer has ended.
Test(bounded_queue, close_wakes_a_waiting_producer) {
  BoundedQueue<int> queue(1);
  cr_expect(queue.TryPush(1));
  bool pushed = true;
  std::thread producer([&] { pushed = queue.Push(2); });
  queue.Close();
  producer.join();
  cr_expect(!pushed);
}

// Guards against items that are lost, duplicated or reordered between threads.
Test(bounded_queue, every_item_arrives_once_and_in_order) {
  constexpr int kItems = 20'000;
  BoundedQueue<int> queue(7);
  std::thread producer([&] {
    for (int i = 0; i < kItems; ++i) queue.Push(i);
    queue.Close();
  });
  std::vector<int> out;
  while (queue.PopAll(out, std::chrono::seconds(1))) {
  }
  producer.join();
  cr_assert(out.size() == kItems);
  for (int i = 0; i < kItems; ++i) cr_assert(out[static_cast<std::size_t>(i)] == i);
}
