#include "slot_speed.h"

#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "admission/slot_table.h"
#include "membership/upstream_registry.h"

namespace wagtailpick::admission {
namespace {

constexpr std::array<std::size_t, 4> kSizes{10, 100, 1'000, 10'000};
constexpr std::size_t kRounds = 2'000'000;
constexpr std::int64_t kWallMs = 1'700'000'000'000;
constexpr std::size_t kUpstreamsPerPool = 16;

/// A slot table and the registry that its announcements come from.
struct TestSetup {
  SessionLease lease;
  membership::UpstreamRegistry registry;
  SlotTable table;
  std::vector<std::string> addresses;
};

std::size_t HeapBytes() { return mallinfo2().uordblks; }

membership::LocalTime Now() { return {kWallMs, base::MonotonicTime(std::chrono::hours(1))}; }

void Add(TestSetup& setup, std::size_t number) {
  const std::string address =
      "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":9000";
  const std::string place = "dc-" + std::to_string(number / kUpstreamsPerPool);
  setup.addresses.push_back(address);
  setup.table.Grant({address, "payment", place, number + 1, 1, false, true}, Now());
  const auto announcement =
      membership::Announcement::Create({"payment", address, place, "up", 1, 1, 4, 330, 0, kWallMs});
  setup.registry.Apply(announcement.value(), Now());
  setup.table.ApplyAnnouncement(*setup.registry.Find(address), Now());
}

/// Returns how many slots are acquired and released again per second.
double PairsPerSecond(TestSetup& setup) {
  std::mt19937_64 random(7);
  const auto start = std::chrono::steady_clock::now();
  std::size_t acquired = 0;
  for (std::size_t i = 0; i < kRounds; ++i) {
    const std::string& address = setup.addresses[random() % setup.addresses.size()];
    const Acquisition acquisition =
        setup.table.Acquire(address, {kWallMs + 500, false}, setup.lease, Now());
    if (!acquisition) continue;
    ++acquired;
    setup.table.Release(acquisition.ticket, {SlotOutcome::kAnswered, std::chrono::milliseconds(20)},
                        Now());
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  return static_cast<double>(acquired) / elapsed.count();
}

}  // namespace

void MeasureSlotTable() {
  std::printf("slot table, one thread, release build with debug info\n");
  std::printf("  %10s %18s %16s %19s\n", "upstreams", "acquire+release/s", "slot table B/up",
              "with registry B/up");
  for (const std::size_t size : kSizes) {
    TestSetup setup;
    setup.lease.StartSession(1);
    setup.lease.OnGranted(setup.lease.StartRenewal(Now().monotonic), Now().monotonic);
    setup.table.SetService("payment", {4, 1'000, 1'000, 20});
    setup.addresses.reserve(size);
    const std::size_t before = HeapBytes();
    for (std::size_t i = 0; i < size; ++i) Add(setup, i);
    const std::size_t both = (HeapBytes() - before) / size;
    const double rate = PairsPerSecond(setup);
    const std::size_t full_bytes = HeapBytes();
    setup.registry = membership::UpstreamRegistry();
    const std::size_t registry = (full_bytes - HeapBytes()) / size;
    std::printf("  %10zu %18.0f %16zu %19zu\n", size, rate, both - registry, both);
  }
}

}  // namespace wagtailpick::admission
