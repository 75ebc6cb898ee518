#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "base/monotonic_time.h"
#include "routing/owned_pool.h"
#include "routing/summary.h"
#include "routing/topology.h"

namespace wagtailpick::routing {

/// What the summaries say about one service in one region; the input of a shift's pacing.
struct RegionReport {
  /// Receipt of the oldest summary in it; a region is known as well as its least known owner.
  base::MonotonicTime oldest_received_at;
  std::uint32_t total_slots = 0;
  /// Averaged over about half a second.
  float free_share = 0;
  /// Average of the owners' medians, weighted by their slots; 0 when unknown.
  base::Duration latency{0};
};

/// Free slots and latency of each place and service as their owners report them, corrected by what
/// this entry did since. Owned by one thread.
class SummaryTable {
 public:
  SummaryTable(std::shared_ptr<const Topology> topology, std::size_t service_count);

  /// Takes a summary from another entry; `round_trip` is the network time to it and back. Returns
  /// false when the summary is older than the one held, is about this entry's own slots, or names
  /// an unknown place or service.
  bool Apply(const Summary& summary, base::Duration round_trip, base::MonotonicTime now);

  /// Sets the exact counts of this entry's own slots; call it before each choice when they changed.
  bool SetLocal(const Summary& summary, base::MonotonicTime now);

  /// Counts a request that this entry sends to the owner `key`.
  void RecordForward(const OwnedPoolKey& key, base::MonotonicTime sent_at);

  /// Takes back a request counted by `RecordForward` once its outcome is known; `latency` is the
  /// time it took without the network.
  void RecordAnswer(const OwnedPoolKey& key, base::MonotonicTime sent_at, base::Duration latency,
                    base::MonotonicTime now);

  /// Takes back a request that the owner refused for lack of a slot: it has none until it reports
  /// again.
  void RecordShed(const OwnedPoolKey& key, base::MonotonicTime sent_at, base::MonotonicTime now);

  /// Forgets an entry that is gone, so that no request waits for it.
  void Remove(EntryId entry);

  /// Rows of one service in one region.
  std::span<const OwnedPool> Rows(ServiceId service, RegionId region) const;

  /// Returns nothing when no owner is known.
  std::optional<RegionReport> ReportOf(ServiceId service, RegionId region) const;

  std::size_t memory_bytes() const;

 private:
  // What isn't read by a choice, kept apart so that a scan touches fewer cache lines.
  struct History {
    std::uint64_t sequence = 0;
    base::Duration round_trip{0};
    float observed_us = 0;
    std::uint32_t observed = 0;
    base::MonotonicTime observed_at;
    std::vector<base::MonotonicTime> forwards;
  };
  struct RegionPools {
    std::vector<OwnedPool> rows;
    std::vector<History> histories;
  };
  struct RowRef {
    RegionPools* region = nullptr;
    std::size_t row = 0;
  };

  bool Known(const OwnedPoolKey& key) const;
  RegionPools& RegionPoolsOf(const OwnedPoolKey& key);
  RowRef FindRow(const OwnedPoolKey& key);
  RowRef FindOrAddRow(const OwnedPoolKey& key);
  static void RemoveForward(const RowRef& ref, base::MonotonicTime sent_at);
  static void Observe(const RowRef& ref, base::Duration latency, base::MonotonicTime now);

  std::shared_ptr<const Topology> topology_;
  std::size_t service_count_;
  std::vector<RegionPools> regions_;
};

}  // namespace wagtailpick::routing
