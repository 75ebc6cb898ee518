#include "limits/limit_table.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/enum_names.h"

namespace wagtailpick::limits {
namespace {

constexpr std::array<base::EnumName<LimitChange>, 4> kChangeNames{{
    {LimitChange::kNone, "none"},
    {LimitChange::kStarted, "started"},
    {LimitChange::kChanged, "changed"},
    {LimitChange::kEnded, "ended"},
}};

/// Lowest rate of requests to a limited upstream.
constexpr double kProbeRequestsPerSecond = 0.25;
/// How long the limit of an unknown upstream is kept.
constexpr base::Duration kKeepUnknown = std::chrono::seconds(60);

LimitChange ChangeBetween(const RateLimit* before, const RateLimit& after) {
  const bool was_in_force = before != nullptr && !before->ended;
  if (after.ended) return was_in_force ? LimitChange::kEnded : LimitChange::kNone;
  if (!was_in_force) return LimitChange::kStarted;
  return before->requests_per_second == after.requests_per_second ? LimitChange::kNone
                                                                  : LimitChange::kChanged;
}

}  // namespace

double RequestRate(const RateLimit& limit) {
  return std::max(limit.requests_per_second, kProbeRequestsPerSecond);
}

bool IsOver(const RateLimit& limit, std::optional<std::int64_t> known_run,
            base::MonotonicTime now) {
  if (!known_run) return now - limit.stated_at > kKeepUnknown;
  return *known_run > limit.started_unix_ms;
}

std::string_view ToString(LimitChange change) { return base::NameOf(kChangeNames, change); }

LimitChange LimitTable::Apply(const LimitReport& report, base::MonotonicTime now) {
  const RateLimit next{report.started_unix_ms, report.requests_per_second, report.ended,
                       now - std::max(report.age, base::Duration::zero())};
  const auto found = limits_.find(report.upstream);
  const bool same_run =
      found != limits_.end() && found->second.started_unix_ms == next.started_unix_ms;
  if (found != limits_.end() && found->second.started_unix_ms > next.started_unix_ms) {
    return LimitChange::kNone;
  }
  if (same_run && found->second.stated_at >= next.stated_at) return LimitChange::kNone;
  const auto change = ChangeBetween(same_run ? &found->second : nullptr, next);
  limits_[report.upstream] = next;
  return change;
}

LimitChange LimitTable::RecordAnswer(const std::string& upstream, std::int64_t started_unix_ms,
                                     std::optional<double> requests_per_second,
                                     base::MonotonicTime sent_at, base::MonotonicTime now) {
  LimitReport report{upstream, started_unix_ms, requests_per_second.value_or(0), false, {}};
  if (!requests_per_second) {
    const auto* known = Find(upstream, started_unix_ms);
    if (known == nullptr || known->ended || sent_at <= known->stated_at) return LimitChange::kNone;
    report.requests_per_second = known->requests_per_second;
    report.ended = true;
    report.age = now - sent_at;
  }
  const auto change = Apply(report, now);
  if (change != LimitChange::kNone) changed_by_answers_.insert(upstream);
  return change;
}

const RateLimit* LimitTable::Find(const std::string& upstream, std::int64_t started_unix_ms) const {
  const auto found = limits_.find(upstream);
  if (found == limits_.end() || found->second.started_unix_ms != started_unix_ms) return nullptr;
  return &found->second;
}

LimitReport LimitTable::MakeReport(const std::string& upstream, const RateLimit& limit,
                                   base::MonotonicTime now) {
  return {upstream, limit.started_unix_ms, limit.requests_per_second, limit.ended,
          now - limit.stated_at};
}

std::vector<LimitReport> LimitTable::reports(base::MonotonicTime now) const {
  std::vector<LimitReport> list;
  for (const auto& [upstream, limit] : limits_) list.push_back(MakeReport(upstream, limit, now));
  return list;
}

std::vector<LimitReport> LimitTable::ConsumeChanges(base::MonotonicTime now) {
  std::vector<LimitReport> list;
  for (const auto& upstream : std::exchange(changed_by_answers_, {})) {
    const auto found = limits_.find(upstream);
    if (found != limits_.end()) list.push_back(MakeReport(upstream, found->second, now));
  }
  return list;
}

void LimitTable::RemoveIf(
    const std::function<bool(const std::string& upstream, const RateLimit&)>& is_over) {
  std::erase_if(limits_, [&](const auto& item) { return is_over(item.first, item.second); });
}

std::size_t LimitTable::in_force() const {
  return static_cast<std::size_t>(std::count_if(
      limits_.begin(), limits_.end(), [](const auto& item) { return !item.second.ended; }));
}

}  // namespace wagtailpick::limits
