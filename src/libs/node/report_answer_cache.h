#pragma once

#include <cstdint>
#include <string>

#include "base/monotonic_time.h"
#include "cluster/messages.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::node {

/// Answers requests for reports with encoded messages. When all processes start at once, many
/// entries ask the same replica for all reports within a moment; the answer is encoded once for
/// them.
class ReportAnswerCache {
 public:
  /// The frame that answers `request` by `table`.
  const std::string& Answer(const upstreams::UpstreamTable& table,
                            const cluster::ReportsRequest& request, base::MonotonicTime now);

  /// Answers that were encoded.
  std::uint64_t encoded() const { return encoded_; }

 private:
  cluster::ReportsRequest request_;
  std::uint64_t table_digest_ = 0;
  base::MonotonicTime made_at_ = base::MonotonicTime::min();
  std::string frame_;
  std::uint64_t encoded_ = 0;
};

}  // namespace wagtailpick::node
