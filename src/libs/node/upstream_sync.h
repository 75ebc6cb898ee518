#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/monotonic_time.h"
#include "cluster/messages.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::node {

/// What a replica knows of an upstream, for another process; a coldness that has ended isn't told.
cluster::AgedReport MakeAgedReport(const upstreams::KnownUpstream& known, base::MonotonicTime now);

/// Asks for the reports in which the receiver differs from `table`.
cluster::ReportsRequest MakeReportsRequest(const upstreams::UpstreamTable& table);

/// The reports in which `table` differs from the sender's, and those of cold upstreams, as digests
/// don't tell of coldness.
cluster::Reports MakeReportsAnswer(const upstreams::UpstreamTable& table,
                                   const cluster::ReportsRequest& request, base::MonotonicTime now);

/// Tells which upstreams of `table` were silent lately.
cluster::UpstreamLiveness MakeLiveness(const upstreams::UpstreamTable& table,
                                       base::MonotonicTime now);

/// An entry's side: takes what the followed replica has heard, and finds out when the tables
/// differ.
class UpstreamSync {
 public:
  explicit UpstreamSync(upstreams::UpstreamTable& table) : table_(table) {}

  /// Another replica is followed now; returns what to ask it first.
  cluster::ReportsRequest StartFollowing();

  /// Returns a request when the tables have differed for long enough that it isn't a report on its
  /// way; repeated at growing intervals while they do.
  std::optional<cluster::ReportsRequest> HandleLiveness(const cluster::UpstreamLiveness& heard,
                                                        base::MonotonicTime now);

  /// Takes the answer to a request, after the table has taken its reports.
  void ApplyAnswer(const cluster::Reports& answer);

 private:
  upstreams::UpstreamTable& table_;
  /// Messages in a row that named another digest.
  std::uint32_t mismatch_count_ = 0;
  /// Whether the followed replica has answered since the tables began to differ.
  bool answered_ = false;
  /// Upstreams that the followed replica doesn't know; its word that all were heard isn't about
  /// them.
  std::set<std::string> unknown_to_replica_;
};

}  // namespace wagtailpick::node
