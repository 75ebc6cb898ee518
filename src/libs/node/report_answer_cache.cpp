#include "node/report_answer_cache.h"

#include "cluster/message_codec.h"
#include "node/upstream_sync.h"

namespace wagtailpick::node {
namespace {

/// Ages of reports may be off by as much, which is less than the time that announcements take.
constexpr base::Duration kReuseTime = std::chrono::milliseconds(200);

}  // namespace

const std::string& ReportAnswerCache::Answer(const upstreams::UpstreamTable& table,
                                             const cluster::ReportsRequest& request,
                                             base::MonotonicTime now) {
  const auto digest = table.digests().total();
  const bool same = encoded_ > 0 && request.digests == request_.digests &&
                    digest == table_digest_ && now - made_at_ < kReuseTime;
  if (same) return frame_;
  frame_ = cluster::Encode(MakeReportsAnswer(table, request, now));
  request_ = request;
  table_digest_ = digest;
  made_at_ = now;
  ++encoded_;
  return frame_;
}

}  // namespace wagtailpick::node
