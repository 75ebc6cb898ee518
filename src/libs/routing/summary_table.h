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

/// Aggregated summaries of one service in one region, by which a shift is paced.
struct RegionReport {
  /// Receipt of the oldest summary included: the report is as old as its oldest part.
  base::MonotonicTime oldest_received_at;
  std::uint32_t total_slots = 0;
  /// Share of free slots, averaged over about half a second.
  float free_share = 0;
  /// Average of the owners' median latencies, weighted by their slots; 0 if unknown.
  base::Duration latency{0};
};

/// Free slots and latency of each owned pool as reported by its owner, corrected by the requests
/// that this entry has sent since and by their outcomes. Used by one thread.
class SummaryTable {
 public:
  SummaryTable(std::shared_ptr<const Topology> topology, std::size_t service_count);

  /// Applies a summary of another entry; `round_trip` is the network round trip to it. Returns
  /// false if the summary is not newer than the last one, is about this entry's own slots, or is
  /// about an unknown data centre or service.
  bool Apply(const Summary& summary, base::Duration round_trip, base::MonotonicTime now);

  /// Sets the exact counts of this entry's own slots; must be called before a choice if they have
  /// changed. Returns false if the data centre or service is unknown.
  bool SetLocal(const Summary& summary, base::MonotonicTime now);

  /// Records a request that this entry sends to the owner of `key`. It reduces the free slots until
  /// its outcome is recorded or a later summary includes it.
  void RecordForward(const OwnedPoolKey& key, base::MonotonicTime sent_at);

  /// Records the answer to a request recorded by `RecordForward`; `latency` is its duration without
  /// the network.
  void RecordAnswer(const OwnedPoolKey& key, base::MonotonicTime sent_at, base::Duration latency,
                    base::MonotonicTime now);

  /// Records that the owner refused a request for lack of a slot. Its pool counts as full until its
  /// next summary.
  void RecordShed(const OwnedPoolKey& key, base::MonotonicTime sent_at, base::MonotonicTime now);

  /// Removes all pools of an entry that has left, so that no request is sent to it.
  void Remove(EntryId entry);

  /// Returns the pools of one service in one region, those of this entry first.
  std::span<const OwnedPool> Rows(ServiceId service, RegionId region) const;

  /// Returns the report of one service in one region; nothing if no owner is known.
  std::optional<RegionReport> ReportOf(ServiceId service, RegionId region) const;

  std::size_t memory_bytes() const;

 private:
  // Data that a choice does not read, stored separately so that a scan touches fewer cache lines.
  struct History {
    std::uint64_t sequence = 0;
    float observed_us = 0;
    std::uint32_t observed = 0;
    base::MonotonicTime observed_at;
    // Send times of the requests counted in `OwnedPool::forwarded_since`.
    std::vector<base::MonotonicTime> forwards;
  };
  // The pools of one service in one region; `histories` has the same order as `rows`.
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
