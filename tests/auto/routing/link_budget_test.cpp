#include "routing/link_budget.h"

#include <criterion/criterion.h>

#include <random>
#include <vector>

#include "fixtures.h"

namespace wagtailpick::routing {
namespace {

struct Sent {
  base::MonotonicTime at;
  std::uint64_t bytes = 0;
};

std::uint64_t BytesInWindow(const std::vector<Sent>& sent, base::MonotonicTime begin) {
  std::uint64_t sum = 0;
  for (const auto& entry : sent) {
    if (entry.at >= begin && entry.at < begin + LinkBudget::kWindow) sum += entry.bytes;
  }
  return sum;
}

}  // namespace

// Guards against bursts at the boundary of two counting periods that together exceed the share.
Test(link_budget, no_window_holds_more_than_the_share) {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    std::mt19937_64 random(seed);
    LinkBudget budget;
    budget.SetShare(10'000, At(1'000'000));
    std::vector<Sent> sent;
    base::MonotonicTime now = At(5'000);
    for (int i = 0; i < 300; ++i) {
      now += base::Duration(random() % 30'000);
      const std::uint64_t bytes = random() % 2'000;
      if (!budget.TryReserve(bytes, now)) continue;
      sent.push_back({now, bytes});
      if (random() % 10 == 0) {
        budget.Return(bytes, now);
        sent.pop_back();
      }
    }
    for (const auto& entry : sent) cr_assert(BytesInWindow(sent, entry.at) <= 10'000);
  }
}

// Guards against answers larger than expected whose excess is not counted.
Test(link_budget, excess_is_charged_to_the_following_windows) {
  LinkBudget budget;
  budget.SetShare(1'000, At(1'000'000));
  cr_assert(budget.TryReserve(600, At(0)));
  budget.ChargeExcess(2'000, At(100));
  cr_expect(!budget.TryReserve(1, At(500)));
  cr_expect(!budget.TryReserve(1, At(1'200)));
  cr_expect(!budget.TryReserve(1, At(2'000)));
  cr_expect(budget.TryReserve(1, At(3'500)));
}

// Guards against a share that outlives its lease.
Test(link_budget, nothing_is_reserved_without_a_valid_share) {
  LinkBudget budget;
  cr_expect(!budget.TryReserve(1, At(0)));
  budget.SetShare(1'000, At(2'000));
  cr_expect(budget.TryReserve(1, At(1'999)));
  cr_expect(!budget.TryReserve(1, At(2'000)));
  budget.SetShare(1'000, At(4'000));
  cr_expect(budget.TryReserve(999, At(2'001)));
  cr_expect(!budget.TryReserve(1, At(2'001)));
}

}  // namespace wagtailpick::routing
