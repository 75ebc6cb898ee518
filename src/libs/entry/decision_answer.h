#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "claims/claim_round.h"
#include "entry/error_answer.h"
#include "entry/request_flow.h"
#include "entry/view.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// Describes why a claim round doesn't let the request run.
ErrorInfo DescribeDecision(const claims::Decision& decision);

/// Describes a request that got no whole answer.
ErrorInfo DescribeReply(const rpc::ForwardReply& reply, base::Verdict verdict);

/// Returns the stored form of a whole answer.
std::string EncodeStoredAnswer(const rpc::ForwardReply& reply);

/// Answers a request that finds the entry's limit of running requests reached.
http::Response OverloadedAnswer(const RequestFlow& flow);

/// Answers a request while this entry has no lease: names entries of other regions, as far as they
/// are known. `view` may be null.
http::Response NoLeaseAnswer(const http::Request& request, const View* view,
                             const std::string& own_region);

}  // namespace wagtailpick::entry
