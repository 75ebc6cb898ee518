#pragma once

#include <string>

#include "admission/slot_table.h"
#include "membership/upstream_registry.h"

namespace wagtailpick::admission {

constexpr std::int64_t kStartMs = 1'700'000'000'000;
constexpr const char* kAddress = "127.0.0.1:9000";

inline membership::LocalTime At(std::int64_t ms) {
  return {kStartMs + ms, base::MonotonicTime(std::chrono::milliseconds(90'000 + ms))};
}

/// A slot table that owns one warm upstream with 3 slots, and a lease that is valid until 1,980 ms.
/// Times are in milliseconds after `kStartMs`.
class SlotTableFixture {
 public:
  explicit SlotTableFixture(bool quarantine = false, bool warm = true) {
    lease.StartSession(1);
    lease.OnGranted(lease.StartRenewal(At(0).monotonic), At(0).monotonic);
    table.SetService("payment", {3, 1'000, 1'000, 20});
    table.Grant({kAddress, "payment", "mvd-1", 1, 1, quarantine, warm}, At(0));
    Announce(0, "up");
  }

  void Announce(std::int64_t ms, const std::string& state, std::int64_t incarnation = 1,
                std::int64_t slots = 3, std::int64_t load = 0) {
    const auto announcement =
        membership::Announcement::Create({"payment", kAddress, "mvd-1", state, incarnation,
                                          ++sequence, slots, 330, load, kStartMs + ms});
    registry.Apply(announcement.value(), At(ms));
    table.ApplyAnnouncement(*registry.Find(kAddress), At(ms));
  }

  /// Renews the lease at `ms`.
  void Renew(std::int64_t ms) {
    lease.OnGranted(lease.StartRenewal(At(ms).monotonic), At(ms).monotonic);
  }

  Acquisition Acquire(std::int64_t ms, std::int64_t deadline_in_ms = 500, bool shifted = false) {
    return table.Acquire(kAddress, {kStartMs + ms + deadline_in_ms, shifted}, lease, At(ms));
  }

  bool Release(const SlotTicket& ticket, std::int64_t ms,
               SlotOutcome outcome = SlotOutcome::kAnswered) {
    return table.Release(ticket, {outcome, std::chrono::milliseconds(20)}, At(ms));
  }

  SlotCounts Counts(std::int64_t ms) { return table.Counts({"payment", "mvd-1"}, lease, At(ms)); }

  SessionLease lease;
  membership::UpstreamRegistry registry;
  SlotTable table;
  std::int64_t sequence = 0;
};

}  // namespace wagtailpick::admission
