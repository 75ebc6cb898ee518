#include <future>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "entry/decision_answer.h"
#include "entry/dispatcher.h"

namespace wagtailpick::entry {
namespace {

constexpr std::uint32_t kStoppingRetryMs = 1'000;
/// Longest wait for the loop. A stop must not hang if a task blocks the loop.
constexpr std::chrono::seconds kLoopTimeout{1};

}  // namespace

void Dispatcher::StartDrain() {
  loop_.TryPost([this] {
    draining_ = true;
    owner_.BeginHandover();
    context_.events.Record(base::WallNowMillis(), timeline::EventKind::kDrainStarted, options_.vm,
                           "entry");
  });
}

void Dispatcher::ReleaseIdleUpstreams() {
  owner_.BeginHandover();
  for (const auto& upstream : owner_.ReleaseIdle()) {
    rpc::DisownRequest request;
    request.set_vm(options_.vm);
    request.set_session_epoch(session_.lease().epoch());
    request.set_service(upstream.service);
    request.set_address(upstream.address);
    request.set_epoch(upstream.grant_id);
    request.set_idle(true);
    control_.ReleaseOwnership(request);
  }
}

void Dispatcher::RunOnLoop(const std::function<void()>& task) {
  const auto done = std::make_shared<std::promise<void>>();
  auto future = done->get_future();
  const bool queued = loop_.Post([task, done] {
    task();
    done->set_value();
  });
  if (queued) future.wait_for(kLoopTimeout);
}

void Dispatcher::RefuseNewRequests() {
  RunOnLoop([this] { refuses_new_ = true; });
}

void Dispatcher::AnswerRunningRequests() {
  RunOnLoop([this] {
    const auto flows = flows_;
    for (const auto& flow : flows) AnswerUnfinished(flow);
  });
}

// A request without an attempt still waits for its claim, so it has not run and is never sent.
void Dispatcher::AnswerUnfinished(const FlowPtr& flow) {
  if (flow->attempts == 0) return Refuse(flow, DescribeDecision(claims::Decision()));
  Finish(flow, RefusalReply(flow->request.forward, base::Verdict::kMayHaveRun, "stopping",
                            kStoppingRetryMs));
}

void Dispatcher::ReleaseUnusedClaim(const FlowPtr& flow, const claims::Decision& decision) {
  if (decision.result != claims::RoundResult::kRun) return;
  claims_.Release({flow->claim.table, flow->claim.key, flow->claim.attempt, base::WallNowMillis()});
}

}  // namespace wagtailpick::entry
