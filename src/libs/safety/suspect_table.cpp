#include "safety/suspect_table.h"

#include <algorithm>
#include <array>
#include <limits>

#include "base/enum_names.h"

namespace wagtailpick::safety {
namespace {

// An announcement that was sent just before the crash may arrive after the connection was lost.
constexpr std::uint64_t kAnnouncementsInFlight = 1;

constexpr std::array<base::EnumName<Action>, 3> kActionNames{{
    {Action::kServe, "serve"},
    {Action::kTrial, "trial"},
    {Action::kBlocked, "blocked"},
}};

std::string TrialKeyOf(const SuspectReport& report) {
  const auto first = std::find_if(report.strikes.begin(), report.strikes.end(),
                                  [](const Strike& strike) { return !strike.is_void; });
  return "trial:" + ToHex(report.fingerprint) + ":" + first->id;
}

}  // namespace

std::string_view ToString(Action action) { return base::NameOf(kActionNames, action); }

SuspectTable::SuspectTable(const SuspectLimits& limits)
    : limits_(limits), successes_(limits.max_recent_successes) {}

CheckResult SuspectTable::Check(const Fingerprint& fingerprint, WallMillis now) {
  SuspectReport* report = Find(fingerprint, now);
  if (report == nullptr) return {};
  if (CountLosses(*report, now) == 0) return {};
  if (IsBlocking(*report, now)) {
    if (now - report->renewed_at >= limits_.renewal_step_ms) {
      report->renewed_at = std::max(report->renewed_at, now);
      changed_.insert(fingerprint);
    }
    return {Action::kBlocked, {}};
  }
  if (SucceededRecently(*report, now)) return {};
  return {Action::kTrial, TrialKeyOf(*report)};
}

std::size_t SuspectTable::LostUpstreamCount(const Fingerprint& fingerprint, WallMillis now) {
  const SuspectReport* report = Find(fingerprint, now);
  return report == nullptr ? 0 : CountLostUpstreams(*report, true);
}

bool SuspectTable::IsBlocking(const SuspectReport& report, WallMillis now) const {
  return CountLosses(report, now) >= limits_.strikes_to_block;
}

bool SuspectTable::SucceededRecently(const SuspectReport& report, WallMillis now) const {
  return SucceededElsewhere(report, now - limits_.recent_success_ms);
}

// All requests that were running through a lost owner get a strike, above all the common ones. So
// owner losses do not count for a request that other upstreams answered recently.
std::size_t SuspectTable::CountLosses(const SuspectReport& report, WallMillis now) const {
  return CountLostUpstreams(report, !SucceededRecently(report, now));
}

SuspectReport SuspectTable::AddStrike(const Fingerprint& fingerprint, const LostConnection& lost,
                                      WallMillis now) {
  SuspectReport& report = FindOrAdd(fingerprint, now);
  safety::AddStrike(
      report, {lost.event_id, lost.upstream, lost.owner_session, lost.announcement, now, false});
  return MarkChanged(report);
}

std::optional<SuspectReport> SuspectTable::AddSuccess(const Fingerprint& fingerprint,
                                                      const std::string& address, WallMillis now) {
  successes_.Add(fingerprint, {address, now});
  SuspectReport* report = Find(fingerprint, now);
  if (report == nullptr) return std::nullopt;
  safety::AddSuccess(report->successes, {address, now});
  const bool was_suspect = CountLostUpstreams(*report, true) > 0;
  for (Strike& strike : report->strikes) strike.is_void = true;
  if (!was_suspect) return std::nullopt;
  return MarkChanged(*report);
}

std::vector<SuspectReport> SuspectTable::WithdrawStrikes(const UpstreamRun& upstream,
                                                         std::uint64_t announcement,
                                                         WallMillis now) {
  std::vector<SuspectReport> withdrawn;
  for (auto& [fingerprint, report] : suspects_) {
    if (IsExpired(report, now)) continue;
    bool changed = false;
    for (Strike& strike : report.strikes) {
      if (strike.is_void || strike.upstream != upstream) continue;
      if (announcement <= strike.announcement + kAnnouncementsInFlight) continue;
      strike.is_void = true;
      changed = true;
    }
    if (changed) withdrawn.push_back(MarkChanged(report));
  }
  return withdrawn;
}

SuspectReport SuspectTable::AddUnresolvedTrial(const Fingerprint& fingerprint,
                                               const std::string& trial_key, WallMillis now) {
  SuspectReport& report = FindOrAdd(fingerprint, now);
  // Every entry that detects this gives the strike the same id, so that it counts once. No
  // announcement withdraws it, as the upstream is unknown.
  safety::AddStrike(report,
                    {"unresolved:" + trial_key, {"unresolved:" + trial_key, 0}, {}, 0, now, false});
  return MarkChanged(report);
}

std::optional<SuspectReport> SuspectTable::Merge(const SuspectReport& report, WallMillis now) {
  if (IsExpired(report, now)) return std::nullopt;
  SuspectReport& known = FindOrAdd(report.fingerprint, now);
  if (MergeInto(known, report)) changed_.insert(report.fingerprint);
  if (known == report) return std::nullopt;
  return known;
}

void SuspectTable::MergeWithoutForwarding(const SuspectReport& report, WallMillis now) {
  const bool was_changed = changed_.contains(report.fingerprint);
  Merge(report, now);
  if (!was_changed) changed_.erase(report.fingerprint);
}

std::vector<SuspectReport> SuspectTable::ConsumeChanges(WallMillis now) {
  std::vector<SuspectReport> changes;
  for (const Fingerprint& fingerprint : changed_) {
    if (const SuspectReport* report = Find(fingerprint, now)) changes.push_back(*report);
  }
  changed_.clear();
  return changes;
}

std::vector<SuspectReport> SuspectTable::reports(WallMillis now) const {
  std::vector<SuspectReport> result;
  for (const auto& [fingerprint, report] : suspects_) {
    if (!IsExpired(report, now)) result.push_back(report);
  }
  return result;
}

SuspectReport* SuspectTable::Find(const Fingerprint& fingerprint, WallMillis now) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return nullptr;
  if (!IsExpired(found->second, now)) return &found->second;
  suspects_.erase(found);
  return nullptr;
}

SuspectReport& SuspectTable::FindOrAdd(const Fingerprint& fingerprint, WallMillis now) {
  if (SuspectReport* found = Find(fingerprint, now)) return *found;
  if (suspects_.size() >= limits_.max_fingerprints) MakeRoom(now, fingerprint);
  SuspectReport& report = suspects_[fingerprint];
  report.fingerprint = fingerprint;
  if (const Successes* successes = successes_.Find(fingerprint)) report.successes = *successes;
  return report;
}

bool SuspectTable::IsExpired(const SuspectReport& report, WallMillis now) const {
  return ExpiresAt(report) <= now;
}

WallMillis SuspectTable::ExpiresAt(const SuspectReport& report) const {
  WallMillis last = report.renewed_at;
  for (const Strike& strike : report.strikes) last = std::max(last, strike.at);
  // Evaluated at the end of a suspicion rather than now, as a report must not expire and later be
  // valid again when a success elsewhere is no longer recent.
  const WallMillis suspicion_end = last + limits_.suspect_ms;
  return IsBlocking(report, suspicion_end) ? last + limits_.block_ms : suspicion_end;
}

// Removes expired suspects. If that frees no space, evicts the suspect that expires first, or the
// block that does if all suspects are blocked.
void SuspectTable::MakeRoom(WallMillis now, const Fingerprint& keep) {
  std::erase_if(suspects_, [&](const auto& item) {
    return IsExpired(item.second, now) && item.first != keep;
  });
  if (suspects_.size() < limits_.max_fingerprints || suspects_.empty()) return;
  const auto eviction_order = [&](const auto& item) {
    return std::make_pair(IsBlocking(item.second, now), ExpiresAt(item.second));
  };
  const auto victim = std::min_element(
      suspects_.begin(), suspects_.end(),
      [&](const auto& a, const auto& b) { return eviction_order(a) < eviction_order(b); });
  changed_.erase(victim->first);
  suspects_.erase(victim);
}

const SuspectReport& SuspectTable::MarkChanged(const SuspectReport& report) {
  changed_.insert(report.fingerprint);
  return report;
}

}  // namespace wagtailpick::safety
