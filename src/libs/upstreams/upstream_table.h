#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "upstreams/table_digest.h"
#include "upstreams/upstream_report.h"

namespace wagtailpick::upstreams {

/// What a report did to the table.
enum class Change : std::uint8_t {
  /// It was older than what is known.
  kStale,
  /// Only the time of hearing has changed.
  kHeartbeat,
  /// The upstream is new, has started again, or has changed its state or coldness.
  kChanged,
};

/// An upstream as far as this process knows.
struct KnownUpstream {
  UpstreamReport report;
  /// When the newest report reached this process, counted from its sending where that is known.
  base::MonotonicTime last_seen;
  base::MonotonicTime cold_until;
};

/// The upstreams of all services by id. At most one ready upstream has an address: an address is
/// used again after its upstream has ended, and only the newest run counts.
class UpstreamTable {
 public:
  UpstreamTable() = default;
  // The indexes point into the table.
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;

  /// Takes a report that is `age` old.
  Change Apply(const UpstreamReport& report, base::Duration age, base::MonotonicTime now);

  /// The run of an upstream that began at `started_unix_ms` has said in an answer that it leaves.
  /// Returns what is to be told of it; nothing when that run isn't known or has left already.
  std::optional<UpstreamReport> MarkLeft(const std::string& id, std::int64_t started_unix_ms);

  /// Marks an announcement without a change, named by run and sequence.
  Change ApplyHeartbeat(const std::string& id, std::int64_t started_unix_ms, std::uint64_t sequence,
                        base::MonotonicTime now);

  /// Takes a replica's word that all upstreams were heard within `interval`, but for those of
  /// `silent`, with the time since they were heard; `Duration::max()` where that isn't known.
  void ApplyLastSeenTimes(base::Duration interval,
                          const std::map<std::string, base::Duration>& silent,
                          base::MonotonicTime now);

  /// How long an upstream was silent when this table last heard of any. A process that hears of
  /// none is cut off itself, which says nothing about the upstreams.
  base::Duration SilenceOf(const KnownUpstream& known) const {
    return last_received_at_ - known.last_seen;
  }

  /// When any upstream was last heard of.
  base::MonotonicTime last_received_at() const { return last_received_at_; }

  /// Forgets upstreams of which nothing was heard for `silence`; those that have left are kept that
  /// long as well, so that a late announcement doesn't bring them back. Returns their ids.
  std::vector<std::string> Expire(base::Duration silence, base::MonotonicTime now);

  /// Treats the upstreams of a data centre as cold until `until`.
  void MarkCold(const std::string& data_centre, base::MonotonicTime until);

  /// Returns the upstream, or null.
  const KnownUpstream* Find(const std::string& id) const;

  const TableDigests& digests() const { return digests_; }

  const std::map<std::string, KnownUpstream>& all() const { return upstreams_; }

  /// The upstreams of a service, in any state.
  const std::vector<const KnownUpstream*>& OfService(const std::string& service) const;

 private:
  /// Replaces what is known of the report's upstream.
  void Put(const KnownUpstream& known);
  void Remove(const std::string& id);
  bool IsSuperseded(const UpstreamReport& report) const;
  void RetireOthersAt(const UpstreamReport& report);

  std::map<std::string, KnownUpstream> upstreams_;
  TableDigests digests_;
  base::MonotonicTime last_received_at_ = base::MonotonicTime::min();
  std::map<std::string, std::vector<const KnownUpstream*>> by_service_;
  std::map<std::string, std::vector<KnownUpstream*>> by_address_;
};

}  // namespace wagtailpick::upstreams
