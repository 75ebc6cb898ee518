#include "node/report_answer_cache.h"

#include "cluster/message_codec.h"
#include "node/upstream_sync.h"

namespace wagtailpick::node {
namespace {

/// The ages in a reused answer are too low by up to this time, which is less than the time that an
/// announcement takes to arrive.
constexpr base::Duration kReuseTime = std::chrono::milliseconds(200);

}  // namespace

const std::string& ReportAnswerCache::Answer(const upstreams::UpstreamTable& table,
                                             const cluster::ReportsRequest& request,
                                             base::MonotonicTime now) {
  const auto digest = table.digests().total();
  const bool same = encode_count_ > 0 && request.digests == request_.digests &&
                    digest == table_digest_ && now - encoded_at_ < kReuseTime;
  if (same) return frame_;
  frame_ = cluster::Encode(MakeReportsAnswer(table, request, now));
  request_ = request;
  table_digest_ = digest;
  encoded_at_ = now;
  ++encode_count_;
  return frame_;
}

}  // namespace wagtailpick::node
