#include "upstreams/upstream_table.h"

#include <algorithm>
#include <tuple>

namespace wagtailpick::upstreams {
namespace {

/// A coldness that differs by less than this from what is known is the same one.
constexpr base::Duration kColdTolerance = std::chrono::milliseconds(400);

auto OrderOf(const UpstreamReport& report) {
  return std::make_tuple(report.started_unix_ms, report.sequence, report.state);
}

bool IsSameBelief(const UpstreamReport& a, const UpstreamReport& b) {
  return a.started_unix_ms == b.started_unix_ms && a.state == b.state && a.service == b.service &&
         a.address == b.address && a.slots == b.slots && a.data_centre == b.data_centre;
}

}  // namespace

bool UpstreamTable::IsSuperseded(const UpstreamReport& report) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
    const auto& known = item.second.report;
    return known.id != report.id && known.address == report.address &&
           known.started_unix_ms > report.started_unix_ms;
  });
}

void UpstreamTable::RetireOthersAt(const UpstreamReport& report) {
  for (auto& [id, known] : upstreams_) {
    if (id == report.id || known.report.address != report.address) continue;
    if (known.report.started_unix_ms < report.started_unix_ms) known.report.state = State::kLeft;
  }
}

Change UpstreamTable::Apply(const UpstreamReport& report, base::Duration age,
                            base::MonotonicTime now) {
  const auto heard_at = now - age;
  const auto cold_until = heard_at + report.cold_left;
  const auto found = upstreams_.find(report.id);
  if (found != upstreams_.end()) {
    auto& known = found->second;
    const bool same_run = known.report.started_unix_ms == report.started_unix_ms;
    if (OrderOf(report) <= OrderOf(known.report)) return Change::kStale;
    // A run that has said that it leaves never takes new work again.
    if (same_run && known.report.state == State::kLeft && report.state != State::kLeft) {
      return Change::kStale;
    }
    if (IsSuperseded(report)) return Change::kStale;
    const bool cold_changed =
        report.cold_left > base::Duration::zero() && cold_until > known.cold_until + kColdTolerance;
    const bool same = IsSameBelief(known.report, report) && !cold_changed;
    known = {report, std::max(known.heard_at, heard_at),
             same_run ? std::max(known.cold_until, cold_until) : cold_until};
    if (same) return Change::kHeard;
  } else {
    if (IsSuperseded(report)) return Change::kStale;
    upstreams_[report.id] = {report, heard_at, cold_until};
  }
  RetireOthersAt(report);
  return Change::kChanged;
}

Change UpstreamTable::NoteHeard(const std::string& id, std::int64_t started_unix_ms,
                                std::uint64_t sequence, base::MonotonicTime now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return Change::kStale;
  auto& report = found->second.report;
  if (report.started_unix_ms != started_unix_ms || report.sequence >= sequence) {
    return Change::kStale;
  }
  report.sequence = sequence;
  found->second.heard_at = std::max(found->second.heard_at, now);
  return Change::kHeard;
}

std::vector<std::string> UpstreamTable::Expire(base::Duration silence, base::MonotonicTime now) {
  std::vector<std::string> expired;
  for (const auto& [id, known] : upstreams_) {
    if (now - known.heard_at > silence) expired.push_back(id);
  }
  for (const auto& id : expired) upstreams_.erase(id);
  return expired;
}

void UpstreamTable::Chill(const std::string& data_centre, base::MonotonicTime until) {
  for (auto& [id, known] : upstreams_) {
    if (known.report.data_centre != data_centre) continue;
    known.cold_until = std::max(known.cold_until, until);
  }
}

const KnownUpstream* UpstreamTable::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

}  // namespace wagtailpick::upstreams
