#include "soak/work_queue.h"

#include <algorithm>

#include "platform/standin_wire.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 4;
constexpr std::size_t kMaxWaiting = 6;
/// Range of the time that a request takes at a warm upstream.
constexpr int kMinWorkMs = 250;
constexpr int kMaxWorkMs = 2'300;
constexpr int kColdFactor = 2;
constexpr int kDeadlineExceeded = 504;

}  // namespace

WorkQueue::WorkQueue(asio::io_context& loop, PromiseChecker& checker, StopChecker& stops,
                     std::uint64_t seed)
    : loop_(loop), checker_(checker), stops_(stops), random_(seed) {}

void WorkQueue::Add(const std::shared_ptr<net::InboundRequest>& inbound,
                    const std::string& upstream, bool cold, bool leaving) {
  auto request = platform::RequestIdOf(inbound->request);
  if (running_ >= kSlots && waiting_.size() >= kMaxWaiting) {
    return inbound->Answer(platform::NotRunAnswer(request));
  }
  auto job = std::make_shared<Job>(loop_);
  job->inbound = inbound;
  job->request = std::move(request);
  job->upstream = upstream;
  const int work_ms = kMinWorkMs + static_cast<int>(random_() % (kMaxWorkMs - kMinWorkMs));
  job->length = milliseconds(work_ms) * (cold ? kColdFactor : 1);
  job->deadline = inbound->received_at + platform::DeadlineOf(inbound->request);
  job->leaving = leaving;
  stops_.RecordPassedOn(job->request);
  inbound->on_client_left = [this, weak = std::weak_ptr(job)] {
    if (const auto left = weak.lock()) Drop(left);
  };
  waiting_.push_back(std::move(job));
  StartNext();
}

void WorkQueue::StartNext() {
  while (running_ < kSlots && !waiting_.empty()) {
    const auto job = waiting_.front();
    waiting_.pop_front();
    if (base::MonotonicNow() >= job->deadline) {
      stops_.RecordWorkEnded(job->request);
      job->inbound->Answer(platform::NotRunAnswer(job->request));
      continue;
    }
    Run(job);
  }
}

void WorkQueue::Run(const std::shared_ptr<Job>& job) {
  ++running_;
  checker_.RecordRun(job->request, job->inbound->request.method == "GET");
  const auto time_left = job->deadline - base::MonotonicNow();
  const bool in_time = job->length < time_left;
  job->timer.expires_after(std::min(job->length, base::Duration(time_left)));
  job->timer.async_wait([this, job, in_time](asio::error_code error) {
    if (!error && job->inbound != nullptr) Finish(*job, in_time);
  });
}

void WorkQueue::Finish(Job& job, bool in_time) {
  --running_;
  stops_.RecordWorkEnded(job.request);
  const platform::ServerLoad load{running_, waiting_.size(), kSlots};
  auto answer = platform::ServerAnswer(job.request, "answer to " + job.request, load);
  if (!in_time) answer.status = kDeadlineExceeded;
  if (job.leaving) {
    platform::AddLeavingHeader(answer);
    checker_.RecordDrainAcknowledged(job.upstream);
  }
  std::exchange(job.inbound, nullptr)->Answer(std::move(answer));
  StartNext();
}

void WorkQueue::Drop(const std::shared_ptr<Job>& job) {
  job->inbound = nullptr;
  const auto found = std::find(waiting_.begin(), waiting_.end(), job);
  if (found != waiting_.end()) {
    waiting_.erase(found);
    return;
  }
  --running_;
  job->timer.cancel();
  StartNext();
}

}  // namespace wagtailpick::soak
