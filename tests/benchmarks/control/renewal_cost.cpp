#include "renewal_cost.h"

#include <chrono>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <vector>

#include "control/session_table.h"
#include "control/share_ledger.h"

namespace wagtailpick::control {
namespace {

constexpr std::uint64_t kSizes[] = {100, 400, 1'600, 6'400};
constexpr std::uint64_t kRenewals = 100'000;
constexpr std::uint64_t kDemandSteps = 7;
constexpr base::Duration kRenewalInterval = std::chrono::milliseconds(250);
// After this many rounds the first shares have expired, so that grants and expiries balance.
constexpr std::uint64_t kWarmUpRounds = 30;

// Demands of two services for shift caps and link bytes towards two regions.
std::vector<ServiceShare> Demands(std::uint64_t number) {
  std::vector<ServiceShare> demands;
  for (const char* service : {"listings", "payment"}) {
    for (const char* to : {"pde", "col"}) {
      demands.push_back({ShareKind::kShiftCap, service, "mvd", to, number});
      demands.push_back({ShareKind::kLinkBytes, service, "mvd", to, 20'000 * (number)});
    }
  }
  return demands;
}

ShareLimits Limits(std::uint64_t sessions) {
  ShareLimits limits;
  for (const char* to : {"pde", "col"}) {
    limits.pools.push_back({{ShareKind::kLinkBytes, "", "mvd", to}, 60'000 * sessions});
    for (const char* service : {"listings", "payment"}) {
      limits.pools.push_back({{ShareKind::kShiftCap, service, "mvd", to}, 2 * sessions});
    }
  }
  limits.priorities = {{"listings", 1}, {"payment", 2}};
  return limits;
}

struct Cost {
  double lease_ns = 0;
  double share_ns = 0;
};

// Uses processor time, as other processes may load the machine.
double NanosPer(std::clock_t total, std::uint64_t count) {
  return 1e9 * static_cast<double>(total) / CLOCKS_PER_SEC / static_cast<double>(count);
}

Cost Measure(std::uint64_t sessions) {
  SessionTable table;
  ShareLedger ledger;
  base::MonotonicTime now;
  std::vector<SessionId> open;
  for (SessionId session = 1; session <= sessions; ++session) open.push_back(session);
  table.Reset(open, now);
  ledger.Reset(now);
  ledger.SetLimits(Limits(sessions), now);
  const auto step = kRenewalInterval / static_cast<std::int64_t>(sessions);
  const auto run = [&](std::uint64_t renewals, auto renew) {
    const auto begin = std::clock();
    for (std::uint64_t count = 0; count < renewals; ++count, now += step) {
      renew(1 + count % sessions, count / sessions + count);
    }
    return NanosPer(std::clock() - begin, renewals);
  };
  std::vector<std::vector<ServiceShare>> demands;
  for (std::uint64_t number = 0; number < kDemandSteps; ++number) {
    demands.push_back(Demands(number));
  }
  const auto renew_share = [&](SessionId session, std::uint64_t number) {
    (void)ledger.Renew(session, demands[number % kDemandSteps], now);
  };
  const double lease = run(kRenewals, [&](SessionId session, auto) { table.Renew(session, now); });
  now += std::chrono::seconds(4);
  run(sessions * kWarmUpRounds, renew_share);
  return {lease, run(kRenewals, renew_share)};
}

}  // namespace

void PrintRenewalCost() {
  std::printf("%-10s %18s %24s %8s\n", "sessions", "lease ns/renewal", "8 shares ns/renewal",
              "ratio");
  double smallest = 0;
  for (const std::uint64_t sessions : kSizes) {
    const Cost cost = Measure(sessions);
    if (smallest == 0) smallest = cost.share_ns + cost.lease_ns;
    std::printf("%-10" PRIu64 " %18.0f %24.0f %8.2f\n", sessions, cost.lease_ns, cost.share_ns,
                (cost.share_ns + cost.lease_ns) / smallest);
  }
  std::printf("\n");
}

}  // namespace wagtailpick::control
