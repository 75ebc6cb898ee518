#include "routing/summary_table.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::routing {
namespace {

constexpr float kAcceptRateGain = 0.15F;
constexpr float kMinAcceptRate = 0.02F;
constexpr float kLatencyGain = 0.1F;
// This entry's own observations replace the reported latency once there are enough recent ones, as
// a report can be late or wrong.
constexpr std::uint32_t kEnoughObservations = 10;
constexpr base::Duration kObservationLifetime{2'000'000};

// Time constant of the average share of free slots.
constexpr float kMeanTimeUs = 500'000;

// Stores the counts of `summary`. The average weights each count by the time since the last one.
void SetCounts(OwnedPool& row, const Summary& summary, base::MonotonicTime now) {
  row.free_slots = static_cast<float>(summary.free_slots);
  row.total_slots = static_cast<float>(summary.total_slots);
  row.reported_us = static_cast<float>(summary.latency.count());
  const auto elapsed = static_cast<float>((now - row.received).count());
  row.received = now;
  if (row.total_slots <= 0) return;
  const float gain = elapsed / (elapsed + kMeanTimeUs);
  row.mean_free_share += (row.free_slots / row.total_slots - row.mean_free_share) * gain;
}

void RecordOutcome(OwnedPool& row, bool accepted, base::MonotonicTime now) {
  const float accept_rate = row.AcceptRate(now);
  row.accept_rate = std::max(
      kMinAcceptRate, accept_rate + ((accepted ? 1.0F : 0.0F) - accept_rate) * kAcceptRateGain);
  row.accept_rate_at = now;
}

}  // namespace

SummaryTable::SummaryTable(std::shared_ptr<const Topology> topology, std::size_t service_count)
    : topology_(std::move(topology)),
      service_count_(service_count),
      regions_(service_count * topology_->region_count()) {}

bool SummaryTable::Known(const OwnedPoolKey& key) const {
  return key.service < service_count_ && key.place < topology_->place_count();
}

SummaryTable::RegionPools& SummaryTable::RegionPoolsOf(const OwnedPoolKey& key) {
  return regions_[key.service * topology_->region_count() + topology_->RegionOf(key.place)];
}

SummaryTable::RowRef SummaryTable::FindRow(const OwnedPoolKey& key) {
  if (!Known(key)) return {};
  RegionPools& region = RegionPoolsOf(key);
  for (std::size_t row = 0; row < region.rows.size(); ++row) {
    if (region.rows[row].entry == key.entry && region.rows[row].place == key.place) {
      return {&region, row};
    }
  }
  return {};
}

SummaryTable::RowRef SummaryTable::FindOrAddRow(const OwnedPoolKey& key) {
  const RowRef found = FindRow(key);
  if (found.region != nullptr) return found;
  RegionPools& region = RegionPoolsOf(key);
  OwnedPool row;
  row.entry = key.entry;
  row.place = key.place;
  region.rows.push_back(row);
  region.histories.emplace_back();
  return {&region, region.rows.size() - 1};
}

bool SummaryTable::Apply(const Summary& summary, base::Duration round_trip,
                         base::MonotonicTime now) {
  if (!Known(summary.key)) return false;
  const RowRef ref = FindOrAddRow(summary.key);
  OwnedPool& row = ref.region->rows[ref.row];
  if (row.local) return false;
  History& history = ref.region->histories[ref.row];
  // If there were no summaries for long, the entry may have restarted and count from 1 again.
  const bool silent = now - row.received > kStaleSummary;
  if (summary.sequence <= history.sequence && !silent) return false;
  history.sequence = summary.sequence;
  // Requests sent within the last round trip had not reached the owner when it made the summary.
  std::erase_if(history.forwards, [&](auto sent_at) { return sent_at <= now - round_trip; });
  row.forwarded_since = static_cast<float>(history.forwards.size());
  SetCounts(row, summary, now);
  const bool observed =
      history.observed >= kEnoughObservations && now - history.observed_at <= kObservationLifetime;
  if (!observed) row.latency_us = row.reported_us;
  return true;
}

bool SummaryTable::SetLocal(const Summary& summary, base::MonotonicTime now) {
  if (!Known(summary.key)) return false;
  RowRef ref = FindOrAddRow(summary.key);
  auto& rows = ref.region->rows;
  if (!rows[ref.row].local) {
    // Moves the row to the front, where a choice finds it even if it scans only a part of the rows.
    std::size_t first = 0;
    while (rows[first].local) ++first;
    std::swap(rows[first], rows[ref.row]);
    std::swap(ref.region->histories[first], ref.region->histories[ref.row]);
    ref.row = first;
  }
  OwnedPool& row = rows[ref.row];
  row.local = true;
  SetCounts(row, summary, now);
  row.latency_us = static_cast<float>(summary.latency.count());
  return true;
}

void SummaryTable::RecordForward(const OwnedPoolKey& key, base::MonotonicTime sent_at) {
  const RowRef ref = FindRow(key);
  if (ref.region == nullptr || ref.region->rows[ref.row].local) return;
  auto& forwards = ref.region->histories[ref.row].forwards;
  forwards.push_back(sent_at);
  ref.region->rows[ref.row].forwarded_since = static_cast<float>(forwards.size());
}

void SummaryTable::RemoveForward(const RowRef& ref, base::MonotonicTime sent_at) {
  auto& forwards = ref.region->histories[ref.row].forwards;
  const auto found = std::find(forwards.begin(), forwards.end(), sent_at);
  if (found != forwards.end()) forwards.erase(found);
  ref.region->rows[ref.row].forwarded_since = static_cast<float>(forwards.size());
}

void SummaryTable::Observe(const RowRef& ref, base::Duration latency, base::MonotonicTime now) {
  History& history = ref.region->histories[ref.row];
  const auto sample = static_cast<float>(latency.count());
  if (history.observed == 0 || now - history.observed_at > kObservationLifetime) {
    history.observed = 0;
    history.observed_us = sample;
  }
  ++history.observed;
  history.observed_at = now;
  const float gain = std::max(kLatencyGain, 1.0F / static_cast<float>(history.observed));
  history.observed_us += (sample - history.observed_us) * gain;
  if (history.observed >= kEnoughObservations) {
    ref.region->rows[ref.row].latency_us = history.observed_us;
  }
}

void SummaryTable::RecordAnswer(const OwnedPoolKey& key, base::MonotonicTime sent_at,
                                base::Duration latency, base::MonotonicTime now) {
  const RowRef ref = FindRow(key);
  if (ref.region == nullptr || ref.region->rows[ref.row].local) return;
  RemoveForward(ref, sent_at);
  Observe(ref, latency, now);
  RecordOutcome(ref.region->rows[ref.row], true, now);
}

void SummaryTable::RecordShed(const OwnedPoolKey& key, base::MonotonicTime sent_at,
                              base::MonotonicTime now) {
  const RowRef ref = FindRow(key);
  if (ref.region == nullptr || ref.region->rows[ref.row].local) return;
  RemoveForward(ref, sent_at);
  OwnedPool& row = ref.region->rows[ref.row];
  row.free_slots = 0;
  RecordOutcome(row, false, now);
}

void SummaryTable::Remove(EntryId entry) {
  for (RegionPools& region : regions_) {
    for (std::size_t row = region.rows.size(); row-- > 0;) {
      if (region.rows[row].entry != entry) continue;
      region.rows.erase(region.rows.begin() + static_cast<std::ptrdiff_t>(row));
      region.histories.erase(region.histories.begin() + static_cast<std::ptrdiff_t>(row));
    }
  }
}

std::span<const OwnedPool> SummaryTable::Rows(ServiceId service, RegionId region) const {
  if (service >= service_count_ || region >= topology_->region_count()) return {};
  return regions_[service * topology_->region_count() + region].rows;
}

std::optional<RegionReport> SummaryTable::ReportOf(ServiceId service, RegionId region) const {
  RegionReport report;
  report.oldest_received_at = base::MonotonicTime::max();
  float total = 0;
  float free = 0;
  float latency = 0;
  for (const OwnedPool& row : Rows(service, region)) {
    total += row.total_slots;
    free += row.mean_free_share * row.total_slots;
    latency += row.reported_us * row.total_slots;
    report.oldest_received_at = std::min(report.oldest_received_at, row.received);
  }
  if (total <= 0) return std::nullopt;
  report.total_slots = static_cast<std::uint32_t>(total);
  report.free_share = free / total;
  report.latency = base::Duration(static_cast<std::int64_t>(latency / total));
  return report;
}

std::size_t SummaryTable::memory_bytes() const {
  std::size_t bytes = sizeof(*this) + regions_.capacity() * sizeof(RegionPools);
  for (const RegionPools& region : regions_) {
    bytes += region.rows.capacity() * sizeof(OwnedPool);
    bytes += region.histories.capacity() * sizeof(History);
    for (const auto& history : region.histories) {
      bytes += history.forwards.capacity() * sizeof(base::MonotonicTime);
    }
  }
  return bytes;
}

}  // namespace wagtailpick::routing
