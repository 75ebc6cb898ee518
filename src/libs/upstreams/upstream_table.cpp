#include "upstreams/upstream_table.h"

#include <algorithm>
#include <tuple>

namespace wagtailpick::upstreams {
namespace {

/// A cold period that ends later than the known one by at most this counts as unchanged.
constexpr base::Duration kColdTolerance = std::chrono::milliseconds(400);

auto VersionOf(const UpstreamReport& report) {
  return std::make_tuple(report.started_unix_ms, report.sequence, report.state);
}

template <typename Pointer>
using Index = std::map<std::string, std::vector<Pointer>>;

template <typename Pointer>
const std::vector<Pointer>& At(const Index<Pointer>& index, const std::string& key) {
  static const std::vector<Pointer> empty;
  const auto found = index.find(key);
  return found == index.end() ? empty : found->second;
}

template <typename Pointer>
void RemoveFrom(Index<Pointer>& index, const std::string& key, const KnownUpstream* known) {
  const auto found = index.find(key);
  if (found == index.end()) return;
  std::erase(found->second, known);
  if (found->second.empty()) index.erase(found);
}

}  // namespace

void UpstreamTable::Put(const KnownUpstream& known) {
  const auto found = upstreams_.find(known.report.id);
  if (found != upstreams_.end() && found->second.report.service == known.report.service &&
      found->second.report.address == known.report.address) {
    digests_.Toggle(found->second.report);
    digests_.Toggle(known.report);
    found->second = known;
    return;
  }
  Remove(known.report.id);
  digests_.Toggle(known.report);
  auto& stored = upstreams_[known.report.id];
  stored = known;
  by_service_[known.report.service].push_back(&stored);
  by_address_[known.report.address].push_back(&stored);
}

void UpstreamTable::Remove(const std::string& id) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  digests_.Toggle(found->second.report);
  RemoveFrom(by_service_, found->second.report.service, &found->second);
  RemoveFrom(by_address_, found->second.report.address, &found->second);
  upstreams_.erase(found);
}

const std::vector<const KnownUpstream*>& UpstreamTable::OfService(
    const std::string& service) const {
  return At(by_service_, service);
}

bool UpstreamTable::IsSuperseded(const UpstreamReport& report) const {
  const auto& same_address = At(by_address_, report.address);
  return std::any_of(same_address.begin(), same_address.end(), [&](const auto* known) {
    return known->report.id != report.id && known->report.started_unix_ms > report.started_unix_ms;
  });
}

void UpstreamTable::MarkOlderRunsLeft(const UpstreamReport& report) {
  for (auto* known : At(by_address_, report.address)) {
    const bool is_older = known->report.started_unix_ms < report.started_unix_ms;
    if (known->report.id == report.id || !is_older) continue;
    digests_.Toggle(known->report);
    known->report.state = State::kLeft;
    digests_.Toggle(known->report);
  }
}

Change UpstreamTable::Apply(const UpstreamReport& report, base::Duration age,
                            base::MonotonicTime now) {
  const auto last_seen = now - age;
  last_received_at_ = std::max(last_received_at_, now);
  const auto cold_until = last_seen + report.cold_left;
  const auto found = upstreams_.find(report.id);
  if (found != upstreams_.end()) {
    const auto& known = found->second;
    const bool same_run = known.report.started_unix_ms == report.started_unix_ms;
    // The process that received the leaving answer may have seen fewer announcements of the run
    // than this table, so that its report has an older sequence.
    if (same_run && report.state == State::kLeft && MarkLeft(report.id, report.started_unix_ms)) {
      return Change::kChanged;
    }
    if (VersionOf(report) <= VersionOf(known.report)) return Change::kStale;
    // A run that has left never becomes ready again.
    if (same_run && known.report.state == State::kLeft && report.state != State::kLeft) {
      return Change::kStale;
    }
    if (IsSuperseded(report)) return Change::kStale;
    const bool cold_changed =
        report.cold_left > base::Duration::zero() && cold_until > known.cold_until + kColdTolerance;
    const bool is_unchanged = IsSameState(known.report, report) && !cold_changed;
    Put({report, std::max(known.last_seen, last_seen),
         same_run ? std::max(known.cold_until, cold_until) : cold_until});
    if (is_unchanged) return Change::kHeartbeat;
  } else {
    if (IsSuperseded(report)) return Change::kStale;
    Put({report, last_seen, cold_until});
  }
  MarkOlderRunsLeft(report);
  return Change::kChanged;
}

std::optional<UpstreamReport> UpstreamTable::MarkLeft(const std::string& id,
                                                      std::int64_t started_unix_ms) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return std::nullopt;
  auto& report = found->second.report;
  if (report.started_unix_ms != started_unix_ms || report.state == State::kLeft) {
    return std::nullopt;
  }
  digests_.Toggle(report);
  report.state = State::kLeft;
  digests_.Toggle(report);
  return report;
}

Change UpstreamTable::ApplyHeartbeat(const std::string& id, std::int64_t started_unix_ms,
                                     std::uint64_t sequence, base::MonotonicTime now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return Change::kStale;
  auto& report = found->second.report;
  if (report.started_unix_ms != started_unix_ms || report.sequence >= sequence) {
    return Change::kStale;
  }
  report.sequence = sequence;
  found->second.last_seen = std::max(found->second.last_seen, now);
  last_received_at_ = std::max(last_received_at_, now);
  return Change::kHeartbeat;
}

void UpstreamTable::ApplyLastSeenTimes(base::Duration interval,
                                       const std::map<std::string, base::Duration>& silent,
                                       base::MonotonicTime now) {
  last_received_at_ = std::max(last_received_at_, now);
  for (auto& [id, known] : upstreams_) {
    const auto found = silent.find(id);
    if (found == silent.end()) {
      known.last_seen = std::max(known.last_seen, now - interval);
    } else if (found->second != base::Duration::max()) {
      known.last_seen = std::max(known.last_seen, now - found->second);
    }
  }
}

std::vector<std::string> UpstreamTable::Expire(base::Duration silence, base::MonotonicTime now) {
  std::vector<std::string> expired;
  for (const auto& [id, known] : upstreams_) {
    if (now - known.last_seen > silence) expired.push_back(id);
  }
  for (const auto& id : expired) Remove(id);
  return expired;
}

void UpstreamTable::MarkCold(const std::string& data_centre, base::MonotonicTime until) {
  for (auto& [id, known] : upstreams_) {
    if (known.report.data_centre != data_centre) continue;
    known.cold_until = std::max(known.cold_until, until);
  }
}

std::optional<std::int64_t> UpstreamTable::RunOf(const std::string& id) const {
  const auto* known = Find(id);
  if (known == nullptr) return std::nullopt;
  return known->report.started_unix_ms;
}

const KnownUpstream* UpstreamTable::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

}  // namespace wagtailpick::upstreams
