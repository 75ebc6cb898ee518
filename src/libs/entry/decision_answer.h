#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/verdict.h"
#include "claims/claim_round.h"
#include "entry/error_answer.h"
#include "entry/request_flow.h"
#include "entry/view.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// Returns the error for a request whose claim was not granted.
ErrorInfo DescribeDecision(const claims::Decision& decision);

/// Returns the error for a request that got no complete answer from an upstream. `verdict` is the
/// parsed verdict of `reply`.
ErrorInfo DescribeReply(const rpc::ForwardReply& reply, base::Verdict verdict);

/// Serializes a complete answer as the `StoredAnswer` that is kept for replays.
std::string EncodeStoredAnswer(const rpc::ForwardReply& reply);

/// Returns the answer to a request that exceeds the entry's limit of running requests.
http::Response OverloadedAnswer(const RequestFlow& flow);

/// Returns the answer to a request while this entry has no lease. Its `X-Wagtailpick-Entry` headers
/// list the entries of other regions in `view`, which may be null.
http::Response NoLeaseAnswer(const http::Request& request, const View* view,
                             const std::string& own_region);

/// Returns the answer to a request that comes when this entry no longer starts any. It closes the
/// connection, so that the caller's next request goes to another entry.
http::Response StoppingAnswer(const http::Request& request);

/// Returns the reply that a request was refused, or that its answer is lost.
rpc::ForwardReply RefusalReply(const rpc::ForwardRequest& request, base::Verdict verdict,
                               std::string_view reason, std::uint32_t retry_after_ms);

/// Returns the same refusal for a request that another entry has forwarded.
rpc::ForwardReply StoppingReply(const rpc::ForwardRequest& request);

}  // namespace wagtailpick::entry
