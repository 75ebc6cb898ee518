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

/// How a report or heartbeat changed the table.
enum class Change : std::uint8_t {
  /// Not at all: it was older than what is known.
  kStale,
  /// No relevant field changed, only the sequence and the last-seen time.
  kHeartbeat,
  /// The upstream is new, restarted, or changed its state, configuration or cold time.
  kChanged,
};

/// What this process knows about an upstream.
struct KnownUpstream {
  UpstreamReport report;
  /// When the newest report was sent as far as its age is known, otherwise when it was received.
  base::MonotonicTime last_seen;
  /// Until when the upstream's caches count as cold.
  base::MonotonicTime cold_until;
};

/// The upstreams of all services by id. An address may be reused after its upstream has ended; only
/// the newest run at an address can be ready. Not thread-safe.
class UpstreamTable {
 public:
  UpstreamTable() = default;
  // Not copyable: the indexes point into the table.
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;

  /// Applies a report that was sent `age` before `now`.
  Change Apply(const UpstreamReport& report, base::Duration age, base::MonotonicTime now);

  /// Marks the run that started at `started_unix_ms` as left, after it announced this in an answer.
  /// Returns the report to publish; nothing if the run is not the known one or has already left.
  std::optional<UpstreamReport> MarkLeft(const std::string& id, std::int64_t started_unix_ms);

  /// Applies an announcement that changes nothing but the last-seen time. Returns `kHeartbeat`, or
  /// `kStale` if the run is not the known one or the sequence is not newer.
  Change ApplyHeartbeat(const std::string& id, std::int64_t started_unix_ms, std::uint64_t sequence,
                        base::MonotonicTime now);

  /// Applies a replica's message that it received announcements of all upstreams within `interval`,
  /// except for those in `silent`. `silent` maps their ids to the time since they were last seen,
  /// or to `Duration::max()` if that is unknown.
  void ApplyLastSeenTimes(base::Duration interval,
                          const std::map<std::string, base::Duration>& silent,
                          base::MonotonicTime now);

  /// Returns how long the upstream had been silent at `last_received_at`. A process that receives
  /// no announcements at all is itself disconnected, so the time after that does not count.
  base::Duration SilenceOf(const KnownUpstream& known) const {
    return last_received_at_ - known.last_seen;
  }

  /// When this table last received an announcement or message about any upstream.
  base::MonotonicTime last_received_at() const { return last_received_at_; }

  /// Removes the upstreams that were last seen more than `silence` before `now` and returns their
  /// ids. Upstreams that have left are kept as long, so that a late announcement does not restore
  /// them.
  std::vector<std::string> Expire(base::Duration silence, base::MonotonicTime now);

  /// Marks all upstreams of a data centre as cold at least until `until`.
  void MarkCold(const std::string& data_centre, base::MonotonicTime until);

  /// Returns the upstream with this id, or null.
  const KnownUpstream* Find(const std::string& id) const;
  /// Returns the start time (Unix ms) of the newest known run of an upstream; empty if it is
  /// unknown.
  std::optional<std::int64_t> RunOf(const std::string& id) const;

  const TableDigests& digests() const { return digests_; }

  const std::map<std::string, KnownUpstream>& all() const { return upstreams_; }

  /// Returns the upstreams of a service, in any state.
  const std::vector<const KnownUpstream*>& OfService(const std::string& service) const;

 private:
  /// Inserts or replaces an upstream and updates the indexes and digests.
  void Put(const KnownUpstream& known);
  void Remove(const std::string& id);
  /// Whether a later run with another id uses the report's address.
  bool IsSuperseded(const UpstreamReport& report) const;
  /// Marks older runs with other ids at the report's address as left.
  void MarkOlderRunsLeft(const UpstreamReport& report);

  std::map<std::string, KnownUpstream> upstreams_;
  TableDigests digests_;
  base::MonotonicTime last_received_at_ = base::MonotonicTime::min();
  std::map<std::string, std::vector<const KnownUpstream*>> by_service_;
  std::map<std::string, std::vector<KnownUpstream*>> by_address_;
};

}  // namespace wagtailpick::upstreams
