#include "soak/standin_service.h"

#include <asio/post.hpp>
#include <utility>

#include "platform/standin_wire.h"
#include "soak/http_call.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kPort = 17'730;
/// How long an upstream that leaves without an announcement continues to run.
constexpr base::Duration kRunTimeAfterLeaving = std::chrono::seconds(6);
constexpr base::Duration kBackOffTime = std::chrono::seconds(3);
constexpr const char* kService = "s";
/// How long an upstream is down after a crash.
constexpr milliseconds kDownTime{1'500};
constexpr milliseconds kAnnounceInterval{300};
/// How long an upstream is cold after its start.
constexpr milliseconds kColdTime{2'000};
constexpr base::Duration kCallTimeout = milliseconds(1'000);
/// How long a draining upstream continues to run after the acknowledgement.
constexpr base::Duration kRunTimeAfterDrain = std::chrono::seconds(4);
/// The system's limit for the time from an acknowledged drain to the last new request.
constexpr base::Duration kDrainBound = milliseconds(2'500);

}  // namespace

StandinService::StandinService(int network, std::size_t upstreams,
                               std::vector<std::string> replicas, PromiseChecker& checker,
                               StopChecker& stops, std::uint64_t seed)
    : replicas_(std::move(replicas)),
      checker_(checker),
      stops_(stops),
      random_(seed),
      upstreams_(upstreams) {
  for (std::size_t i = 0; i < upstreams; ++i) {
    auto& upstream = upstreams_[i];
    upstream.ip = "127." + std::to_string(network) + ".1." + std::to_string(10 + i);
    upstream.long_requests = std::make_unique<WorkQueue>(loop_, checker_, stops_, seed + i);
    Restart(upstream);
    Listen(upstream);
  }
  serving_thread_ = std::thread([this] { loop_.run(); });
  announcing_thread_ = std::thread([this] { AnnounceLoop(); });
}

StandinService::~StandinService() {
  stopping_ = true;
  announcing_thread_.join();
  loop_.stop();
  serving_thread_.join();
}

void StandinService::Listen(Upstream& upstream) {
  auto listener = net::HttpListener::Start(
      loop_, {upstream.ip, kPort},
      [this, &upstream](const std::shared_ptr<net::InboundRequest>& inbound) {
        Serve(upstream, inbound);
      },
      [] { return net::ServerPolicy(); });
  if (listener) upstream.listener = std::move(listener.value());
}

// Closes all connections and the listener, as the crash of a process does.
void StandinService::Crash(Upstream& upstream) {
  upstream.listener.reset();
  {
    const std::lock_guard lock(mutex_);
    upstream.down = true;
  }
  auto timer = std::make_shared<asio::steady_timer>(loop_, kDownTime);
  timer->async_wait([this, &upstream, timer](asio::error_code error) {
    if (error) return;
    const std::lock_guard lock(mutex_);
    Restart(upstream);
    Listen(upstream);
  });
}

void StandinService::Restart(Upstream& upstream) {
  upstream.id = "i-" + std::to_string(next_id_++);
  upstream.sequence = 0;
  upstream.started_unix_ms = base::WallNowMillis();
  upstream.draining = false;
  upstream.down = false;
  upstream.leaving = false;
  upstream.back_off_until = {};
  upstream.limit.reset();
  upstream.drain_acknowledged = false;
}

void StandinService::Replace(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].draining = true;
}

void StandinService::LeaveWithoutAnnouncement(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].leaving = true;
  upstreams_[upstream].replace_due = base::MonotonicNow() + kRunTimeAfterLeaving;
}

void StandinService::StartBackOff(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].back_off_until = base::MonotonicNow() + kBackOffTime;
}

void StandinService::StartLimit(std::size_t upstream, double requests_per_second) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].limit = requests_per_second;
}

std::string StandinService::StartLimitOfLasting(std::size_t first, double requests_per_second) {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = first; i < upstreams_.size(); ++i) {
    auto& upstream = upstreams_[i];
    if (upstream.draining || upstream.leaving || upstream.down) continue;
    upstream.limit = requests_per_second;
    return upstream.id;
  }
  return {};
}

void StandinService::EndLimit(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].limit.reset();
  checker_.RecordLimitEnded(upstreams_[upstream].id);
}

void StandinService::Serve(Upstream& upstream,
                           const std::shared_ptr<net::InboundRequest>& inbound) {
  std::string id;
  bool leaving = false;
  base::MonotonicTime back_off_until;
  std::optional<double> limit;
  bool cold = false;
  {
    const std::lock_guard lock(mutex_);
    cold = base::WallNowMillis() - upstream.started_unix_ms < kColdTime.count();
    id = upstream.id;
    leaving = upstream.leaving;
    back_off_until = upstream.back_off_until;
    limit = upstream.limit;
  }
  if (platform::ExpectedServer(inbound->request) != id) {
    http::Response other;
    other.status = 421;
    return inbound->Answer(std::move(other));
  }
  checker_.RecordArrival(id, kDrainBound);
  if (inbound->request.target == kCrashTarget) {
    checker_.RecordCrash();
    // The request is kept until its connection is closed, as it is answered when it is dropped.
    return asio::post(loop_, [this, &upstream, inbound] { Crash(upstream); });
  }
  const auto now = base::MonotonicNow();
  if (limit) checker_.RecordLimitedArrival(id, now);
  if (now < back_off_until) {
    checker_.RecordBackOffArrival(id, now);
    const auto request_id = platform::RequestIdOf(inbound->request);
    return inbound->Answer(platform::BackOffAnswer(request_id, back_off_until - now));
  }
  const auto& target = inbound->request.target;
  if (target == kLongReadTarget || target == kLongChargeTarget) {
    return upstream.long_requests->Add(inbound, id, cold, leaving);
  }
  if (leaving) checker_.RecordDrainAcknowledged(id);
  Run(inbound, id, leaving, limit);
}

void StandinService::Run(const std::shared_ptr<net::InboundRequest>& inbound, const std::string& id,
                         bool leaving, std::optional<double> limit) {
  const std::string request = platform::RequestIdOf(inbound->request);
  checker_.RecordRun(request, inbound->request.method == "GET");
  auto timer = std::make_shared<asio::steady_timer>(loop_, milliseconds(5 + random_() % 40));
  const bool lost = static_cast<double>(random_() % 1'000) < lost_share_ * 1'000;
  timer->async_wait(
      [this, inbound, request, timer, lost, id, leaving, limit](asio::error_code error) {
        if (error) return;
        if (lost) return inbound->Abort();
        auto answer = platform::ServerAnswer(request, "answer to " + request);
        if (leaving) platform::AddLeavingHeader(answer);
        if (limit) {
          platform::AddLimitHeader(answer, *limit);
          checker_.RecordLimit(id, *limit);
        }
        inbound->Answer(std::move(answer));
      });
}

void StandinService::AnnounceLoop() {
  while (!stopping_) {
    for (std::size_t i = 0; i < upstreams_.size() && !stopping_; ++i) Announce(i);
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

void StandinService::Announce(std::size_t position) {
  upstreams::UpstreamReport report;
  {
    const std::lock_guard lock(mutex_);
    auto& upstream = upstreams_[position];
    if (upstream.down) return;
    const bool is_stopping = upstream.drain_acknowledged || upstream.leaving;
    if (is_stopping && base::MonotonicNow() > upstream.replace_due) {
      Restart(upstream);
    }
    report.id = upstream.id;
    report.started_unix_ms = upstream.started_unix_ms;
    report.sequence = ++upstream.sequence;
    report.state = upstream.draining ? upstreams::State::kDraining : upstreams::State::kReady;
    report.service = kService;
    report.address = upstream.ip + ":" + std::to_string(kPort);
    report.data_centre = "dc-" + std::to_string(position % 2);
    report.version = "v1";
    report.slots = 4;
  }
  const auto request = platform::Heartbeat(report);
  const std::size_t first = static_cast<std::size_t>(base::WallNowMillis()) % replicas_.size();
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    const auto answer = Call(replicas_[(first + i) % replicas_.size()], request, kCallTimeout);
    if (!answer || answer->status != 200) continue;
    if (report.state == upstreams::State::kReady) return;
    checker_.RecordDrainAcknowledged(report.id);
    const std::lock_guard lock(mutex_);
    auto& upstream = upstreams_[position];
    if (upstream.drain_acknowledged) return;
    upstream.drain_acknowledged = true;
    upstream.replace_due = base::MonotonicNow() + kRunTimeAfterDrain;
    return;
  }
}

}  // namespace wagtailpick::soak
