#include "node/upstream_sync.h"

#include <algorithm>
#include <bit>
#include <map>
#include <string>
#include <utility>

namespace wagtailpick::node {
namespace {

/// Upstreams announce themselves about every 1.5 s; announcements may arrive 1 s late.
constexpr base::Duration kSilenceThreshold = std::chrono::milliseconds(3'000);
/// Largest number of liveness messages with a differing digest between two requests.
constexpr std::uint32_t kMaxMessagesBetweenRequests = 16;

/// Whether an answer holds every report that its sender has in the part of the upstream `id`.
bool CoversPartOf(const cluster::Reports& answer, const std::string& id) {
  const auto part = static_cast<std::uint8_t>(upstreams::TableDigests::PartOf(id));
  const auto& parts = *answer.complete_parts;
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

}  // namespace

cluster::AgedReport MakeAgedReport(const upstreams::KnownUpstream& known, base::MonotonicTime now) {
  cluster::AgedReport aged{known.report, now - known.last_seen};
  aged.report.cold_left = std::max(known.cold_until - known.last_seen, base::Duration::zero());
  return aged;
}

cluster::ReportsRequest MakeReportsRequest(const upstreams::UpstreamTable& table) {
  const auto& parts = table.digests().parts();
  return {{parts.begin(), parts.end()}};
}

cluster::Reports MakeReportsAnswer(const upstreams::UpstreamTable& table,
                                   const cluster::ReportsRequest& request,
                                   base::MonotonicTime now) {
  const auto& parts = table.digests().parts();
  const auto differs = [&](const std::string& id) {
    const auto part = upstreams::TableDigests::PartOf(id);
    return part >= request.digests.size() || request.digests[part] != parts.at(part);
  };
  cluster::Reports reports;
  reports.complete_parts.emplace();
  for (std::size_t part = 0; part < parts.size(); ++part) {
    const bool same = part < request.digests.size() && request.digests[part] == parts.at(part);
    if (!same) reports.complete_parts->push_back(static_cast<std::uint8_t>(part));
  }
  for (const auto& [id, known] : table.all()) {
    if (known.cold_until > now || differs(id)) {
      reports.reports.push_back(MakeAgedReport(known, now));
    }
  }
  return reports;
}

cluster::Reports MakeMissingReports(const upstreams::UpstreamTable& table,
                                    const cluster::Reports& answer, base::MonotonicTime now) {
  cluster::Reports missing;
  if (!answer.complete_parts) return missing;
  std::map<std::string, const upstreams::UpstreamReport*> answered;
  for (const auto& aged : answer.reports) answered[aged.report.id] = &aged.report;
  for (const auto& [id, known] : table.all()) {
    if (!CoversPartOf(answer, id)) continue;
    const auto found = answered.find(id);
    if (found != answered.end() && upstreams::IsSameState(*found->second, known.report)) continue;
    missing.reports.push_back(MakeAgedReport(known, now));
  }
  return missing;
}

cluster::UpstreamLiveness MakeLiveness(const upstreams::UpstreamTable& table,
                                       base::MonotonicTime now) {
  cluster::UpstreamLiveness liveness{table.digests().total(), {}};
  for (const auto& [id, known] : table.all()) {
    const auto silence = now - known.last_seen;
    if (silence > kSilenceThreshold) liveness.silent.push_back({id, silence});
  }
  return liveness;
}

cluster::ReportsRequest UpstreamSync::StartFollowing() {
  mismatch_count_ = 0;
  answered_ = false;
  silent_.clear();
  unknown_to_replica_.clear();
  return MakeReportsRequest(table_);
}

std::optional<cluster::ReportsRequest> UpstreamSync::HandleLiveness(
    const cluster::UpstreamLiveness& liveness, base::MonotonicTime now) {
  const bool same = liveness.digest == table_.digests().total();
  if (same) {
    mismatch_count_ = 0;
    unknown_to_replica_.clear();
  }
  const bool maybe_forgotten = RecordSilent(liveness, same);
  if (same || answered_) ApplySilence(now);
  answered_ = answered_ && !same;
  if (same) return std::nullopt;
  ++mismatch_count_;
  const bool due = mismatch_count_ % kMaxMessagesBetweenRequests == 0 ||
                   (mismatch_count_ > 1 && mismatch_count_ < kMaxMessagesBetweenRequests &&
                    std::has_single_bit(mismatch_count_));
  if (!due && !maybe_forgotten) return std::nullopt;
  return MakeReportsRequest(table_);
}

// While the tables differ, an upstream that is not listed as silent any more may have been heard or
// forgotten. The answer to the next request shows which.
bool UpstreamSync::RecordSilent(const cluster::UpstreamLiveness& liveness, bool same) {
  const auto before = std::exchange(silent_, {});
  for (const auto& upstream : liveness.silent) silent_[upstream.id] = upstream.silence;
  if (same) return false;
  bool maybe_forgotten = false;
  for (const auto& [id, silence] : before) {
    if (silent_.contains(id)) continue;
    unknown_to_replica_.insert(id);
    maybe_forgotten = true;
  }
  return maybe_forgotten;
}

void UpstreamSync::ApplySilence(base::MonotonicTime now) {
  auto silent = silent_;
  for (const auto& id : unknown_to_replica_) silent.try_emplace(id, base::Duration::max());
  table_.ApplyLastSeenTimes(kSilenceThreshold, silent, now);
}

void UpstreamSync::ApplyAnswer(const cluster::Reports& answer) {
  if (!answer.complete_parts) return;
  answered_ = true;
  unknown_to_replica_.clear();
  for (const auto& [id, known] : table_.all()) {
    if (CoversPartOf(answer, id)) unknown_to_replica_.insert(id);
  }
  for (const auto& aged : answer.reports) unknown_to_replica_.erase(aged.report.id);
}

}  // namespace wagtailpick::node
