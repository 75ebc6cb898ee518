#include "base/memory_budget.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <vector>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MemoryBudget;
using base::MemoryReservation;
using base::MemoryUse;

constexpr std::size_t kMegabyte = 1'000'000;
/// The budget of a VM with 260 MB.
constexpr std::size_t kTotal = 169 * kMegabyte;

}  // namespace

// Guards against one use that takes the memory of the others: endless answers that leave no room
// for a large upload, and uploads that leave none for small answers.
Test(memory_budget, each_use_keeps_its_part) {
  for (const auto hungry : base::kMemoryUses) {
    MemoryBudget budget(kTotal);
    while (budget.TryAcquire(hungry, kMegabyte)) continue;
    for (const auto use : base::kMemoryUses) {
      if (use == hungry) continue;
      cr_expect(budget.TryAcquire(use, 8 * kMegabyte), "%d beside %d", static_cast<int>(use),
                static_cast<int>(hungry));
    }
    cr_expect(budget.refusals(hungry) == 1);
  }
  MemoryBudget budget(kTotal);
  while (budget.TryAcquire(MemoryUse::kOpenAnswer, kMegabyte)) continue;
  cr_expect(budget.TryAcquire(MemoryUse::kRequest, 64UL * 1024 * 1024));
}

// Guards against refusing uploads that the machine has room for.
Test(memory_budget, two_large_uploads_fit) {
  MemoryBudget budget(kTotal);
  cr_expect(budget.TryAcquire(MemoryUse::kRequest, 60 * kMegabyte));
  cr_expect(budget.TryAcquire(MemoryUse::kRequest, 60 * kMegabyte));
  cr_expect(!budget.TryAcquire(MemoryUse::kRequest, 60 * kMegabyte));
}

// Guards against a sum that exceeds the budget, and against bytes that stay counted after their
// message is gone, in 20,000 random steps.
Test(memory_budget, holds_its_total_in_random_order) {
  const auto budget = std::make_shared<MemoryBudget>(kTotal);
  std::mt19937_64 random(7);
  std::vector<std::pair<std::shared_ptr<MemoryReservation>, std::size_t>> messages;
  for (int step = 0; step < 20'000; ++step) {
    const auto action = random() % 4;
    if (action == 0 || messages.empty()) {
      const auto use = base::kMemoryUses.at(1 + random() % 3);
      messages.emplace_back(std::make_shared<MemoryReservation>(budget, use), 0);
    } else if (action == 1) {
      messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(random() % messages.size()));
    } else {
      auto& [message, bytes] = messages.at(random() % messages.size());
      const auto wanted = bytes + random() % (4 * kMegabyte);
      if (message->GrowTo(wanted)) bytes = wanted;
    }
    std::size_t held = 0;
    std::size_t sum = 0;
    for (const auto use : base::kMemoryUses) held += budget->held(use);
    for (const auto& message : messages) sum += message.second;
    cr_assert(held == sum);
    cr_assert(held <= budget->peak());
    cr_assert(budget->peak() <= kTotal);
  }
  messages.clear();
  for (const auto use : base::kMemoryUses) cr_expect(budget->held(use) == 0);
}

// Guards against a peak that falls when bytes are returned, counts a refused message, or adds up
// bytes that were never held at the same time.
Test(memory_budget, keeps_the_peak_of_all_uses_together) {
  MemoryBudget budget(kTotal);
  cr_expect(budget.peak() == 0);
  cr_expect(budget.TryAcquire(MemoryUse::kRequest, 60 * kMegabyte));
  cr_expect(budget.TryAcquire(MemoryUse::kAnswer, 10 * kMegabyte));
  cr_expect(!budget.TryAcquire(MemoryUse::kOpenAnswer, kTotal));
  budget.Release(MemoryUse::kRequest, 60 * kMegabyte);
  cr_expect(budget.TryAcquire(MemoryUse::kOpenAnswer, 5 * kMegabyte));
  cr_expect(budget.peak() == 70 * kMegabyte);
}
