#pragma once

#include <cstdint>
#include <string>

#include "base/monotonic_time.h"
#include "cluster/messages.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::node {

/// Answers requests for reports with encoded frames and reuses the last frame for an equal request.
/// When all processes start at once, many entries request all reports from the same replica at
/// nearly the same time; their answer is encoded only once.
class ReportAnswerCache {
 public:
  /// Returns the frame that answers `request` from `table`; valid until the next call.
  const std::string& Answer(const upstreams::UpstreamTable& table,
                            const cluster::ReportsRequest& request, base::MonotonicTime now);

  /// How many answers were encoded so far.
  std::uint64_t encode_count() const { return encode_count_; }

 private:
  cluster::ReportsRequest request_;
  std::uint64_t table_digest_ = 0;
  base::MonotonicTime encoded_at_ = base::MonotonicTime::min();
  std::string frame_;
  std::uint64_t encode_count_ = 0;
};

}  // namespace wagtailpick::node
