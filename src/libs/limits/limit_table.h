#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_time.h"
#include "limits/limit_report.h"

namespace wagtailpick::limits {

/// The rate limit that a run of an upstream named last.
struct RateLimit {
  std::int64_t started_unix_ms = 0;
  double requests_per_second = 0;
  /// The upstream has stopped naming a limit; `requests_per_second` is the last one.
  bool ended = false;
  /// When the upstream stated this.
  base::MonotonicTime stated_at;
};

/// Returns the requests per second that are sent under a limit. An upstream with a very low limit,
/// such as 0, still gets some, as only an answer shows when its limit ends.
double RequestRate(const RateLimit& limit);

/// Returns whether a limit can be dropped at `now`. `known_run` is the start of the upstream's
/// newest known run; empty if the upstream is unknown, whose limit is kept for a while, as it may
/// arrive before the upstream's announcement.
bool IsOver(const RateLimit& limit, std::optional<std::int64_t> known_run, base::MonotonicTime now);

/// How a statement changed the limit of an upstream.
enum class LimitChange : std::uint8_t { kNone, kStarted, kChanged, kEnded };

/// Returns the value as it appears in logs.
std::string_view ToString(LimitChange change);

/// The rate limits of all upstreams, merged from answers and from reports of other processes. The
/// newest statement of the newest run counts, in whichever order statements arrive. An ended limit
/// is kept, so that an older statement cannot restore it.
class LimitTable {
 public:
  /// Merges a report that arrives at `now`.
  LimitChange Apply(const LimitReport& report, base::MonotonicTime now);

  /// Records an answer of a run that names a limit, or none. The request of the answer was sent at
  /// `sent_at`. An answer without a limit ends one only if its request was sent after the limit was
  /// stated: the upstream may have written an earlier answer before it set the limit.
  LimitChange RecordAnswer(const std::string& upstream, std::int64_t started_unix_ms,
                           std::optional<double> requests_per_second, base::MonotonicTime sent_at,
                           base::MonotonicTime now);

  /// Returns what the run stated last; null if it never named a limit.
  const RateLimit* Find(const std::string& upstream, std::int64_t started_unix_ms) const;
  /// Whether any run of the upstream has named a limit.
  bool Contains(const std::string& upstream) const { return limits_.contains(upstream); }
  /// Returns the report of an upstream that `Find` knows.
  static LimitReport MakeReport(const std::string& upstream, const RateLimit& limit,
                                base::MonotonicTime now);
  /// Returns reports of all limits, ended ones included.
  std::vector<LimitReport> reports(base::MonotonicTime now) const;
  /// Returns the reports of the limits that `RecordAnswer` has changed since the last call. Merged
  /// reports are not returned: their senders tell the others.
  std::vector<LimitReport> ConsumeChanges(base::MonotonicTime now);

  /// Removes the limits of runs for which `is_over` returns true.
  void RemoveIf(const std::function<bool(const std::string& upstream, const RateLimit&)>& is_over);

  bool empty() const { return limits_.empty(); }
  /// Number of upstreams whose limit is in force.
  std::size_t in_force() const;

 private:
  std::map<std::string, RateLimit> limits_;
  /// Upstreams whose limits `RecordAnswer` has changed since `ConsumeChanges`.
  std::set<std::string> changed_by_answers_;
};

}  // namespace wagtailpick::limits
