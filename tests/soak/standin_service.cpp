#include "soak/standin_service.h"

#include <asio/post.hpp>
#include <utility>

#include "platform/standin_wire.h"
#include "soak/http_call.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kPort = 17'730;
/// How long an upstream goes on that says in its answers alone that it leaves.
constexpr base::Duration kAfterLeaving = std::chrono::seconds(6);
constexpr base::Duration kPause = std::chrono::seconds(3);
constexpr const char* kService = "s";
/// How long an upstream is down after a request has ended it.
constexpr milliseconds kDownTime{1'500};
constexpr milliseconds kAnnounceInterval{300};
constexpr base::Duration kCallTimeout = milliseconds(1'000);
/// How long a draining upstream goes on after the acknowledgement.
constexpr base::Duration kAfterDrain = std::chrono::seconds(4);
/// The system's bound for new work after an acknowledged drain.
constexpr base::Duration kDrainBound = milliseconds(2'500);

}  // namespace

StandinService::StandinService(int network, std::size_t upstreams,
                               std::vector<std::string> replicas, Ledger& ledger,
                               std::uint64_t seed)
    : replicas_(std::move(replicas)), ledger_(ledger), random_(seed), upstreams_(upstreams) {
  for (std::size_t i = 0; i < upstreams; ++i) {
    auto& upstream = upstreams_[i];
    upstream.ip = "127." + std::to_string(network) + ".1." + std::to_string(10 + i);
    Restart(upstream);
    Listen(upstream);
  }
  serving_ = std::thread([this] { loop_.run(); });
  announcing_ = std::thread([this] { AnnounceLoop(); });
}

StandinService::~StandinService() {
  stopping_ = true;
  announcing_.join();
  loop_.stop();
  serving_.join();
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

// All connections are lost and nobody listens, as when a process has crashed.
void StandinService::End(Upstream& upstream) {
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
  upstream.paused_until = {};
  upstream.drain_acknowledged = false;
}

void StandinService::Replace(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].draining = true;
}

void StandinService::LeaveQuietly(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].leaving = true;
  upstreams_[upstream].replace_due = base::MonotonicNow() + kAfterLeaving;
}

void StandinService::Pause(std::size_t upstream) {
  const std::lock_guard lock(mutex_);
  upstreams_[upstream].paused_until = base::MonotonicNow() + kPause;
}

void StandinService::Serve(Upstream& upstream,
                           const std::shared_ptr<net::InboundRequest>& inbound) {
  std::string id;
  bool leaving = false;
  base::MonotonicTime paused_until;
  {
    const std::lock_guard lock(mutex_);
    id = upstream.id;
    leaving = upstream.leaving;
    paused_until = upstream.paused_until;
  }
  if (platform::ExpectedServer(inbound->request) != id) {
    http::Response other;
    other.status = 421;
    return inbound->Answer(std::move(other));
  }
  ledger_.NoteArrival(id, kDrainBound);
  if (inbound->request.target == kDeadlyTarget) {
    ledger_.NoteEnd();
    return asio::post(loop_, [this, &upstream] { End(upstream); });
  }
  const auto now = base::MonotonicNow();
  if (now < paused_until) {
    ledger_.NotePauseArrival(id, now);
    const auto request_id = platform::RequestIdOf(inbound->request);
    return inbound->Answer(platform::BackOffAnswer(request_id, paused_until - now));
  }
  if (leaving) ledger_.NoteDrainAcknowledged(id);
  Run(inbound, leaving);
}

void StandinService::Run(const std::shared_ptr<net::InboundRequest>& inbound, bool leaving) {
  const std::string request = platform::RequestIdOf(inbound->request);
  ledger_.NoteRun(request, inbound->request.method == "GET");
  auto timer = std::make_shared<asio::steady_timer>(loop_, milliseconds(5 + random_() % 40));
  const bool lost = static_cast<double>(random_() % 1'000) < lost_share_ * 1'000;
  timer->async_wait([inbound, request, timer, lost, leaving](asio::error_code error) {
    if (error) return;
    if (lost) return inbound->Abort();
    auto answer = platform::ServerAnswer(request, "answer to " + request);
    if (leaving) platform::AddLeavingHeader(answer);
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
    const bool ends = upstream.drain_acknowledged || upstream.leaving;
    if (ends && base::MonotonicNow() > upstream.replace_due) {
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
    ledger_.NoteDrainAcknowledged(report.id);
    const std::lock_guard lock(mutex_);
    auto& upstream = upstreams_[position];
    if (upstream.drain_acknowledged) return;
    upstream.drain_acknowledged = true;
    upstream.replace_due = base::MonotonicNow() + kAfterDrain;
    return;
  }
}

}  // namespace wagtailpick::soak
