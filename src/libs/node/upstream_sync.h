#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/monotonic_time.h"
#include "cluster/messages.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::node {

/// Returns the report of a known upstream with its age. `cold_left` is zero once the upstream is no
/// longer cold.
cluster::AgedReport MakeAgedReport(const upstreams::KnownUpstream& known, base::MonotonicTime now);

/// Returns a request for the reports in which the receiver differs from `table`.
cluster::ReportsRequest MakeReportsRequest(const upstreams::UpstreamTable& table);

/// Returns the reports of the parts in which `table` differs from the table of the request's
/// sender. Adds the reports of all cold upstreams, as the digests do not cover `cold_left`.
cluster::Reports MakeReportsAnswer(const upstreams::UpstreamTable& table,
                                   const cluster::ReportsRequest& request, base::MonotonicTime now);

/// Returns the reports that the sender of `answer` lacks in the parts that the answer covers. The
/// reports of the answer must have been applied to `table` before.
cluster::Reports MakeMissingReports(const upstreams::UpstreamTable& table,
                                    const cluster::Reports& answer, base::MonotonicTime now);

/// Returns the upstreams of `table` that are silent, and the digest of the table.
cluster::UpstreamLiveness MakeLiveness(const upstreams::UpstreamTable& table,
                                       base::MonotonicTime now);

/// The entry's side of the synchronisation: updates the last-seen times in the entry's table from
/// the followed replica's liveness messages, and detects when the two tables differ.
class UpstreamSync {
 public:
  explicit UpstreamSync(upstreams::UpstreamTable& table) : table_(table) {}

  /// Resets the state after another replica was chosen. Returns the first request to send to it.
  cluster::ReportsRequest StartFollowing();

  /// Applies a liveness message from the followed replica. Returns a request for reports when the
  /// tables have differed for longer than a report in flight would explain; while they keep
  /// differing, the request is repeated at growing intervals.
  std::optional<cluster::ReportsRequest> HandleLiveness(const cluster::UpstreamLiveness& liveness,
                                                        base::MonotonicTime now);

  /// Handles the answer to a request; its reports must have been applied to the table before.
  void ApplyAnswer(const cluster::Reports& answer);

 private:
  /// Stores the silent upstreams of a liveness message. Returns whether the replica may have
  /// forgotten one that was silent before.
  bool RecordSilent(const cluster::UpstreamLiveness& liveness, bool same);
  /// Updates the last-seen times in the table.
  void ApplySilence(base::MonotonicTime now);

  upstreams::UpstreamTable& table_;
  /// Consecutive liveness messages whose digest differed from the table's.
  std::uint32_t mismatch_count_ = 0;
  /// Whether the followed replica has answered a request since the tables began to differ.
  bool answered_ = false;
  /// Silent upstreams of the last liveness message and how long they had been silent.
  std::map<std::string, base::Duration> silent_;
  /// Upstreams that the followed replica may not know, so its liveness messages do not cover them.
  std::set<std::string> unknown_to_replica_;
};

}  // namespace wagtailpick::node
