#include "soak/mixed_caller.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "platform/standin_wire.h"
#include "soak/standin_service.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kConnectTimeout = milliseconds(1'000);
/// How much longer than its deadline a caller waits for the answer.
constexpr base::Duration kExtraWait = milliseconds(300);
constexpr milliseconds kPauseAfterRefusedConnection{20};
constexpr int kObjects = 20;
constexpr std::size_t kMaxBodyBytes = 200;

/// Time that `answer` asks the caller to wait, limited to a third of `time_left`.
milliseconds RetryAfter(const http::Response& answer, base::Duration time_left) {
  const auto* value = http::FindHeader(answer.headers, "Retry-After");
  if (value == nullptr) return milliseconds(0);
  const auto wanted = base::FromSeconds(std::strtod(value->c_str(), nullptr));
  return std::chrono::duration_cast<milliseconds>(std::min(wanted, time_left / 3));
}

}  // namespace

MixedCaller::MixedCaller(Options options, PromiseChecker& checker, StopChecker& stops)
    : options_(std::move(options)),
      checker_(checker),
      stops_(stops),
      random_(options_.seed * 1'000 + options_.number) {
  ChooseEntry();
}

void MixedCaller::RunUntil(const std::atomic<bool>& stopping) {
  while (!stopping) std::this_thread::sleep_for(SendNext());
}

SendStyle MixedCaller::DrawStyle(bool has_body) {
  SendStyle style;
  style.chunked = has_body && OneIn(2);
  if (OneIn(3)) {
    style.parts = 2 + random_() % 4;
    style.pause = milliseconds(10 + random_() % 150);
  }
  style.half_close = OneIn(12);
  return style;
}

MixedCaller::Plan MixedCaller::DrawPlan() {
  Plan plan;
  plan.idempotent = OneIn(3);
  plan.id = "m" + std::to_string(options_.number) + "-" + std::to_string(next_request_++);
  const auto deadline_ms = static_cast<int>(options_.deadline.count() / 1'000);
  plan.request = platform::ClientRequest(
      plan.idempotent ? "GET" : "POST", plan.idempotent ? kLongReadTarget : kLongChargeTarget,
      plan.id, deadline_ms, std::to_string(random_() % kObjects));
  if (!plan.idempotent) plan.request.body.assign(1 + random_() % kMaxBodyBytes, 'x');
  plan.style = DrawStyle(!plan.idempotent);
  const bool gives_up = OneIn(15);
  plan.timeout = gives_up ? options_.deadline / 4 : options_.deadline + kExtraWait;
  return plan;
}

// A caller that caches addresses uses one until it refuses a connection.
bool MixedCaller::Connect() {
  const bool keeps_connections = options_.number % 3 != 0;
  if (connection_ != nullptr && connection_->usable() && keeps_connections) return true;
  const bool caches_address = options_.number % 2 == 0;
  if (!caches_address) ChooseEntry();
  connection_ = ClientConnection::Connect(options_.entries[entry_], kConnectTimeout);
  if (connection_ == nullptr) ChooseEntry();
  return connection_ != nullptr;
}

milliseconds MixedCaller::SendNext() {
  if (!Connect()) return kPauseAfterRefusedConnection;
  const auto plan = DrawPlan();
  Attempt attempt;
  attempt.request = plan.id;
  attempt.node = options_.first_node + entry_;
  attempt.idempotent = plan.idempotent;
  attempt.style = plan.style;
  attempt.deadline = options_.deadline;
  attempt.kept_connection = connection_->requests() > 0;
  attempt.result = connection_->Call(plan.request, plan.style, plan.timeout);
  const auto& result = attempt.result;
  attempt.from_upstream =
      result.end == CallEnd::kAnswered && result.response.body == "answer to " + plan.id;
  const int status = result.end == CallEnd::kAnswered ? result.response.status : 0;
  checker_.RecordAnswer(plan.id, plan.idempotent, status, attempt.from_upstream);
  stops_.RecordAttempt(attempt);
  // A request that nobody has read is sent again at once, on a new connection.
  if (result.end == CallEnd::kClosed && !stops_.WasPassedOn(plan.id)) return milliseconds(0);
  if (attempt.from_upstream) return DrawPause();
  const auto time_left = options_.deadline - (result.ended_at - result.sent_at);
  return DrawPause() + RetryAfter(result.response, std::max(time_left, base::Duration::zero()));
}

milliseconds MixedCaller::DrawPause() {
  const std::uint64_t range_ms = OneIn(8) ? 2'500 : 80;
  return milliseconds(random_() % range_ms);
}

}  // namespace wagtailpick::soak
