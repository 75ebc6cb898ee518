#include "routing/summary_table.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::routing {
namespace {

constexpr float kTrustGain = 0.15F;
constexpr float kLeastTrust = 0.02F;
constexpr float kLatencyGain = 0.1F;
// Own observations replace the reported latency once there are enough recent ones: a report can lag
// or mislead.
constexpr std::uint32_t kEnoughObservations = 10;
constexpr base::Duration kObservationLifetime{2'000'000};

constexpr float kMeanTimeUs = 500'000;

// Takes over the counts of `summary`; the average weighs each count by the time since the last one.
void SetCounts(Source& row, const Summary& summary, base::MonotonicTime now) {
  row.free_slots = static_cast<float>(summary.free_slots);
  row.total_slots = static_cast<float>(summary.total_slots);
  row.reported_us = static_cast<float>(summary.latency.count());
  const auto elapsed = static_cast<float>((now - row.received).count());
  row.received = now;
  if (row.total_slots <= 0) return;
  const float gain = elapsed / (elapsed + kMeanTimeUs);
  row.mean_free_share += (row.free_slots / row.total_slots - row.mean_free_share) * gain;
}

void CountOutcome(Source& row, bool taken, base::MonotonicTime now) {
  const float trust = row.Trust(now);
  row.trust = std::max(kLeastTrust, trust + ((taken ? 1.0F : 0.0F) - trust) * kTrustGain);
  row.trusted_at = now;
}

}  // namespace

SummaryTable::SummaryTable(std::shared_ptr<const Topology> topology, std::size_t service_count)
    : topology_(std::move(topology)),
      service_count_(service_count),
      shelves_(service_count * topology_->region_count()) {}

bool SummaryTable::Known(const SourceKey& key) const {
  return key.service < service_count_ && key.place < topology_->place_count();
}

SummaryTable::Shelf& SummaryTable::ShelfOf(const SourceKey& key) {
  return shelves_[key.service * topology_->region_count() + topology_->RegionOf(key.place)];
}

SummaryTable::RowRef SummaryTable::FindRow(const SourceKey& key) {
  if (!Known(key)) return {};
  Shelf& shelf = ShelfOf(key);
  for (std::size_t row = 0; row < shelf.rows.size(); ++row) {
    if (shelf.rows[row].entry == key.entry && shelf.rows[row].place == key.place) {
      return {&shelf, row};
    }
  }
  return {};
}

SummaryTable::RowRef SummaryTable::FindOrAddRow(const SourceKey& key) {
  const RowRef found = FindRow(key);
  if (found.shelf != nullptr) return found;
  Shelf& shelf = ShelfOf(key);
  Source row;
  row.entry = key.entry;
  row.place = key.place;
  shelf.rows.push_back(row);
  shelf.histories.emplace_back();
  return {&shelf, shelf.rows.size() - 1};
}

bool SummaryTable::Apply(const Summary& summary, base::Duration round_trip,
                         base::MonotonicTime now) {
  if (!Known(summary.key)) return false;
  const RowRef ref = FindOrAddRow(summary.key);
  Source& row = ref.shelf->rows[ref.row];
  if (row.local) return false;
  History& history = ref.shelf->histories[ref.row];
  // After a long silence the entry may have restarted and count from 1 again.
  const bool silent = now - row.received > kStaleSummary;
  if (summary.sequence <= history.sequence && !silent) return false;
  history.sequence = summary.sequence;
  history.round_trip = round_trip;
  // Requests sent within the last round trip hadn't reached the owner when it made the summary.
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
  auto& rows = ref.shelf->rows;
  if (!rows[ref.row].local) {
    // Own rows stand first, where a choice that scans a part of the rows finds them.
    std::size_t first = 0;
    while (rows[first].local) ++first;
    std::swap(rows[first], rows[ref.row]);
    std::swap(ref.shelf->histories[first], ref.shelf->histories[ref.row]);
    ref.row = first;
  }
  Source& row = rows[ref.row];
  row.local = true;
  SetCounts(row, summary, now);
  row.latency_us = static_cast<float>(summary.latency.count());
  return true;
}

void SummaryTable::CountForward(const SourceKey& key, base::MonotonicTime sent_at) {
  const RowRef ref = FindRow(key);
  if (ref.shelf == nullptr || ref.shelf->rows[ref.row].local) return;
  auto& forwards = ref.shelf->histories[ref.row].forwards;
  forwards.push_back(sent_at);
  ref.shelf->rows[ref.row].forwarded_since = static_cast<float>(forwards.size());
}

void SummaryTable::DropForward(const RowRef& ref, base::MonotonicTime sent_at) {
  auto& forwards = ref.shelf->histories[ref.row].forwards;
  const auto found = std::find(forwards.begin(), forwards.end(), sent_at);
  if (found != forwards.end()) forwards.erase(found);
  ref.shelf->rows[ref.row].forwarded_since = static_cast<float>(forwards.size());
}

void SummaryTable::Observe(const RowRef& ref, base::Duration latency, base::MonotonicTime now) {
  History& history = ref.shelf->histories[ref.row];
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
    ref.shelf->rows[ref.row].latency_us = history.observed_us;
  }
}

void SummaryTable::CountAnswer(const SourceKey& key, base::MonotonicTime sent_at,
                               base::Duration latency, base::MonotonicTime now) {
  const RowRef ref = FindRow(key);
  if (ref.shelf == nullptr || ref.shelf->rows[ref.row].local) return;
  DropForward(ref, sent_at);
  Observe(ref, latency, now);
  CountOutcome(ref.shelf->rows[ref.row], true, now);
}

void SummaryTable::CountShed(const SourceKey& key, base::MonotonicTime sent_at,
                             base::MonotonicTime now) {
  const RowRef ref = FindRow(key);
  if (ref.shelf == nullptr || ref.shelf->rows[ref.row].local) return;
  DropForward(ref, sent_at);
  Source& row = ref.shelf->rows[ref.row];
  row.free_slots = 0;
  CountOutcome(row, false, now);
}

void SummaryTable::Remove(EntryId entry) {
  for (Shelf& shelf : shelves_) {
    for (std::size_t row = shelf.rows.size(); row-- > 0;) {
      if (shelf.rows[row].entry != entry) continue;
      shelf.rows.erase(shelf.rows.begin() + static_cast<std::ptrdiff_t>(row));
      shelf.histories.erase(shelf.histories.begin() + static_cast<std::ptrdiff_t>(row));
    }
  }
}

std::span<const Source> SummaryTable::Rows(ServiceId service, RegionId region) const {
  if (service >= service_count_ || region >= topology_->region_count()) return {};
  return shelves_[service * topology_->region_count() + region].rows;
}

std::optional<RegionReport> SummaryTable::ReportOf(ServiceId service, RegionId region) const {
  RegionReport report;
  report.taken_at = base::MonotonicTime::max();
  float total = 0;
  float free = 0;
  float latency = 0;
  for (const Source& row : Rows(service, region)) {
    total += row.total_slots;
    free += row.mean_free_share * row.total_slots;
    latency += row.reported_us * row.total_slots;
    report.taken_at = std::min(report.taken_at, row.received);
  }
  if (total <= 0) return std::nullopt;
  report.total_slots = static_cast<std::uint32_t>(total);
  report.free_share = free / total;
  report.latency = base::Duration(static_cast<std::int64_t>(latency / total));
  return report;
}

std::size_t SummaryTable::memory_bytes() const {
  std::size_t bytes = sizeof(*this) + shelves_.capacity() * sizeof(Shelf);
  for (const Shelf& shelf : shelves_) {
    bytes += shelf.rows.capacity() * sizeof(Source);
    bytes += shelf.histories.capacity() * sizeof(History);
    for (const auto& history : shelf.histories) {
      bytes += history.forwards.capacity() * sizeof(base::MonotonicTime);
    }
  }
  return bytes;
}

}  // namespace wagtailpick::routing
