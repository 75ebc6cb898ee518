#include "entry/decision_answer.h"

#include <algorithm>

namespace wagtailpick::entry {
namespace {

constexpr std::uint32_t kRetryMs = 1'000;
constexpr std::uint32_t kOverloadRetryMs = 100;

ErrorInfo MakeInfo(int status, const char* reason, const char* message, base::Verdict verdict) {
  ErrorInfo info;
  info.status = status;
  info.reason = reason;
  info.message = message;
  info.verdict = verdict;
  info.retry_after_ms = kRetryMs;
  return info;
}

}  // namespace

ErrorInfo DescribeDecision(const claims::Decision& decision) {
  using claims::RoundResult;
  switch (decision.result) {
    case RoundResult::kInProgress:
      return MakeInfo(409, "in_progress", "a request with this idempotency key is running",
                      decision.verdict);
    case RoundResult::kMayHaveRun:
      return MakeInfo(409, "may_have_run",
                      "an earlier request with this idempotency key may have run",
                      decision.verdict);
    case RoundResult::kAnswerNotKept:
      return MakeInfo(409, "answer_not_kept",
                      "the request ran; its answer was too large to be kept", decision.verdict);
    case RoundResult::kDifferentBody: {
      auto info = MakeInfo(422, "different_request",
                           "this idempotency key was used for another request", decision.verdict);
      info.retry_after_ms = 0;
      return info;
    }
    default:
      break;
  }
  return MakeInfo(503, "claims_unavailable",
                  "too few control replicas could take the claim for this idempotency key",
                  decision.verdict);
}

ErrorInfo DescribeReply(const rpc::ForwardReply& reply, base::Verdict verdict) {
  const bool not_run = verdict == base::Verdict::kNotRun;
  const bool is_blocked = reply.reason() == "blocked_request";
  auto info = MakeInfo(not_run ? 503 : 502, "", "", verdict);
  info.reason = reply.reason();
  info.message = not_run ? "the request was not run" : "the request may have run";
  info.attempt_verdict = verdict;
  info.retry_after_ms = std::max(reply.retry_after_ms(), kOverloadRetryMs);
  if (is_blocked) {
    info.status = 422;
    info.message = "the request is refused: upstreams were lost while they ran it";
    info.attempt_verdict = base::Verdict::kNotRun;
  }
  return info;
}

std::string EncodeStoredAnswer(const rpc::ForwardReply& reply) {
  rpc::StoredAnswer stored;
  stored.set_status(reply.status());
  *stored.mutable_headers() = reply.headers();
  stored.set_body(reply.body());
  return stored.SerializeAsString();
}

http::Response OverloadedAnswer(const RequestFlow& flow) {
  // The claim was not checked, so an earlier request with the same key may have run.
  const auto verdict =
      flow.request.is_idempotent ? base::Verdict::kNotRun : base::Verdict::kMayHaveRun;
  auto info =
      MakeInfo(503, "entry_overloaded", "this entry has too many running requests", verdict);
  info.request_id = flow.request.forward.request_id();
  info.retry_after_ms = kOverloadRetryMs;
  return ErrorAnswer(info);
}

http::Response NoLeaseAnswer(const http::Request& request, const View* view,
                             const std::string& own_region) {
  const bool has_key = http::FindHeader(request.headers, "Idempotency-Key") != nullptr;
  auto info = MakeInfo(503, "no_lease", "this entry has no lease from control; use another entry",
                       has_key ? base::Verdict::kMayHaveRun : base::Verdict::kNotRun);
  auto response = ErrorAnswer(info);
  if (view == nullptr) return response;
  for (const auto& member : view->members) {
    if (member.region == own_region) continue;
    response.headers.push_back({"X-Wagtailpick-Entry", member.http_address});
  }
  return response;
}

http::Response StoppingAnswer(const http::Request& request) {
  const bool has_key = http::FindHeader(request.headers, "Idempotency-Key") != nullptr;
  const auto info = MakeInfo(503, "stopping", "this entry is stopping; use another entry",
                             has_key ? base::Verdict::kMayHaveRun : base::Verdict::kNotRun);
  auto response = ErrorAnswer(info);
  response.headers.push_back({"Connection", "close"});
  return response;
}

rpc::ForwardReply RefusalReply(const rpc::ForwardRequest& request, base::Verdict verdict,
                               std::string_view reason, std::uint32_t retry_after_ms) {
  rpc::ForwardReply reply;
  reply.set_request_id(request.request_id());
  reply.set_verdict(std::string(base::ToString(verdict)));
  reply.set_reason(std::string(reason));
  reply.set_retry_after_ms(retry_after_ms);
  return reply;
}

rpc::ForwardReply StoppingReply(const rpc::ForwardRequest& request) {
  return RefusalReply(request, base::Verdict::kNotRun, "stopping", kOverloadRetryMs);
}

}  // namespace wagtailpick::entry
