#include "node/metrics_page.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kBlockBytes = 50 * kMegabyte;

}  // namespace

// Guards against metrics that cannot tell whether a process came near the memory of its VM: it ends
// without a log line then.
Test(metrics_page, shows_the_peak_memory_of_the_process) {
  const base::MemoryBudget budget(kMegabyte);
  metrics::Registry registry;
  node::SetMemoryGauges(budget, registry);
  const auto before = registry.GaugeAt("wagtailpick_process_resident_bytes").value();
  cr_expect(before > 0);
  {
    const std::string block(kBlockBytes, 'x');
    cr_assert(block.back() == 'x');
  }
  node::SetMemoryGauges(budget, registry);
  const auto peak = registry.GaugeAt("wagtailpick_process_peak_bytes").value();
  cr_expect(peak > before + static_cast<std::int64_t>(kBlockBytes - kMegabyte));
  cr_expect(registry.GaugeAt("wagtailpick_process_resident_bytes").value() < peak);
}

// Guards against metrics that miss bodies which were held only between two scrapes.
Test(metrics_page, shows_the_peak_of_the_memory_budget) {
  base::MemoryBudget budget(kMegabyte);
  cr_assert(budget.TryAcquire(base::MemoryUse::kRequest, kMegabyte / 4));
  budget.Release(base::MemoryUse::kRequest, kMegabyte / 4);
  metrics::Registry registry;
  node::SetMemoryGauges(budget, registry);
  cr_expect(registry.GaugeAt("wagtailpick_memory_held_peak_bytes").value() == kMegabyte / 4);
}
