#include "base/bounded_queue.h"

#include <criterion/criterion.h>

#include <thread>
#include <vector>

using wagtailpick::base::BoundedQueue;
using wagtailpick::base::Duration;

// Guards against a queue that grows under overload instead of refusing.
Test(bounded_queue, refuses_when_full_and_keeps_the_order) {
  BoundedQueue<int> queue(3);
  std::vector<int> out;
  int next = 0;
  // Several rounds move the first slot around the end of the buffer.
  for (int round = 0; round < 5; ++round) {
    out.clear();
    const int first = next;
    cr_expect(queue.TryPush(next++));
    cr_expect(queue.TryPush(next++));
    cr_expect(queue.TryPush(next++));
    cr_expect(!queue.TryPush(-1));
    cr_expect(queue.PopAll(out, Duration(0)));
    cr_expect(out == std::vector<int>({first, first + 1, first + 2}));
    // One item stays behind the wrap for the next round.
    cr_expect(queue.TryPush(next));
    out.clear();
    cr_expect(queue.PopAll(out, Duration(0)));
    cr_expect(out == std::vector<int>({next++}));
  }
}

// Guards against items that are lost when the ring is closed while they wait.
Test(bounded_queue, gives_out_what_it_holds_after_close) {
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

// Guards against a producer that sleeps for ever on a full ring whose reader has gone.
Test(bounded_queue, close_wakes_a_waiting_producer) {
  BoundedQueue<int> queue(1);
  cr_expect(queue.TryPush(1));
  bool pushed = true;
  std::thread producer([&] { pushed = queue.Push(2); });
  queue.Close();
  producer.join();
  cr_expect(!pushed);
}

// Guards against items lost, doubled or reordered between threads.
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
