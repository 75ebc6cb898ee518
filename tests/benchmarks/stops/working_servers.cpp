#include "stops/working_servers.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "platform/standin_site.h"
#include "platform/standin_wire.h"
#include "soak/http_call.h"
#include "stops/traffic.h"

namespace wagtailpick::stops {
namespace {

constexpr std::uint16_t kPort = 17'745;
constexpr std::size_t kServersPerService = 10;
constexpr std::size_t kSlots = 3;
constexpr std::size_t kQueueLimit = 9;
constexpr base::Duration kColdTime = std::chrono::seconds(3);
constexpr double kColdFactor = 2;
/// Fraction of the work that remains for a target whose data is cached.
constexpr double kWarmFraction = 0.3;
constexpr double kWorkSpread = 0.15;
constexpr double kMaxWorkFactor = 3;
constexpr base::Duration kMinWarmTime = std::chrono::seconds(8);
constexpr std::uint64_t kWarmSpreadMs = 15'000;
constexpr milliseconds kHeartbeatInterval{1'500};
constexpr base::Duration kCallTimeout = std::chrono::seconds(1);
constexpr std::size_t kAnswerBytes = 1'500;

const Traffic* TrafficOf(const std::string& target) {
  for (const auto& traffic : kTraffic) {
    if (target.starts_with(traffic.path_prefix)) return &traffic;
  }
  return nullptr;
}

}  // namespace

WorkingServers::WorkingServers(int network, std::vector<std::string> replicas, std::uint64_t seed)
    : replicas_(std::move(replicas)), random_(seed), servers_(2 * kServersPerService) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    auto& server = servers_[i];
    const auto ip = "127." + std::to_string(network) + ".1." + std::to_string(10 + i);
    server.id = "i-" + std::to_string(i);
    server.data_centre = "dc-" + std::to_string(i % 2);
    server.service = i < kServersPerService ? "web" : "photos";
    server.address = ip + ":" + std::to_string(kPort);
    server.started_unix_ms = base::WallNowMillis();
    auto started = net::HttpListener::Start(
        loop_, {ip, kPort}, [this, &server](const auto& inbound) { Serve(server, inbound); },
        [] { return net::ServerPolicy(); });
    if (!started) throw std::runtime_error("cannot listen on " + server.address);
    server.listener = std::move(started.value());
  }
  serving_ = std::thread([this] { loop_.run(); });
  announcing_ = std::thread([this] { AnnounceAll(); });
}

WorkingServers::~WorkingServers() {
  stopping_ = true;
  announcing_.join();
  loop_.stop();
  serving_.join();
}

std::optional<ServerTrace> WorkingServers::Find(const std::string& request_id) const {
  const std::lock_guard lock(mutex_);
  const auto found = traces_.find(request_id);
  if (found == traces_.end()) return std::nullopt;
  return found->second;
}

void WorkingServers::Update(const std::string& request_id,
                            const std::function<void(ServerTrace&)>& change) {
  const std::lock_guard lock(mutex_);
  change(traces_[request_id]);
}

void WorkingServers::Serve(Server& server, const std::shared_ptr<net::InboundRequest>& inbound) {
  const auto now = base::MonotonicNow();
  const auto id = platform::RequestIdOf(inbound->request);
  if (platform::IsHealthCheck(inbound->request)) {
    const auto cold_left = std::chrono::duration_cast<milliseconds>(ColdLeft(server));
    return inbound->Answer(platform::HealthAnswer(server.id, cold_left));
  }
  if (platform::ExpectedServer(inbound->request) != server.id) {
    return inbound->Answer(platform::NotRunAnswer(id, 421));
  }
  Update(id, [now](ServerTrace& trace) {
    ++trace.arrivals;
    trace.arrived_at = now;
    trace.began_at.reset();
    trace.answered_at.reset();
    trace.dropped_at.reset();
  });
  const auto waiting = std::make_shared<Waiting>();
  waiting->inbound = inbound;
  // Captures no owner of the request: the request holds this callback.
  inbound->on_client_left = [this, id, left = std::weak_ptr(waiting)] {
    if (const auto self = left.lock()) self->left = true;
    Update(id, [](ServerTrace& trace) { trace.dropped_at = base::MonotonicNow(); });
  };
  if (server.running < kSlots) return Begin(server, waiting);
  if (server.queue.size() < kQueueLimit) return server.queue.push_back(waiting);
  auto refusal = platform::NotRunAnswer(id, 503);
  platform::SetLoad(refusal, server.running, server.queue.size(), kSlots);
  Update(id, [](ServerTrace& trace) { trace.answered_at = base::MonotonicNow(); });
  inbound->Answer(std::move(refusal));
}

base::Duration WorkingServers::DrawWork(Server& server, const http::Request& request) {
  const auto* traffic = TrafficOf(request.target);
  if (traffic == nullptr) return base::Duration::zero();
  const auto now = base::MonotonicNow();
  if (now >= server.cold_again_due) {
    server.warm.clear();
    const std::lock_guard lock(mutex_);
    server.cold_until = now + kColdTime;
    server.cold_again_due = now + kMinWarmTime + milliseconds(random_() % kWarmSpreadMs);
  }
  std::normal_distribution<double> spread(0, kWorkSpread);
  double factor = std::min(kMaxWorkFactor, std::exp(spread(random_)));
  if (now < server.cold_until) factor *= kColdFactor;
  if (!server.warm.insert(request.target).second) factor *= kWarmFraction;
  return base::Scale(traffic->mean_work, factor);
}

void WorkingServers::Begin(Server& server, const std::shared_ptr<Waiting>& waiting) {
  ++server.running;
  Update(platform::RequestIdOf(waiting->inbound->request), [](ServerTrace& trace) {
    ++trace.runs;
    trace.began_at = base::MonotonicNow();
  });
  const auto work = DrawWork(server, waiting->inbound->request);
  const auto timer = std::make_shared<asio::steady_timer>(loop_, work);
  timer->async_wait(
      [this, &server, waiting, timer](asio::error_code) { Finish(server, *waiting); });
}

void WorkingServers::Finish(Server& server, const Waiting& waiting) {
  --server.running;
  if (!waiting.left) {
    const auto id = platform::RequestIdOf(waiting.inbound->request);
    Update(id, [](ServerTrace& trace) { trace.answered_at = base::MonotonicNow(); });
    auto answer = platform::ServerAnswer(id, std::string(kAnswerBytes, 'a'));
    platform::SetLoad(answer, server.running, server.queue.size(), kSlots);
    waiting.inbound->Answer(std::move(answer));
  }
  while (!server.queue.empty() && server.running < kSlots) {
    const auto next = server.queue.front();
    server.queue.pop_front();
    if (!next->left) Begin(server, next);
  }
}

base::Duration WorkingServers::ColdLeft(const Server& server) const {
  const std::lock_guard lock(mutex_);
  return std::max(base::Duration::zero(), server.cold_until - base::MonotonicNow());
}

void WorkingServers::AnnounceAll() {
  while (!stopping_) {
    for (auto& server : servers_) {
      if (!stopping_) Announce(server);
    }
    const auto due = base::MonotonicNow() + kHeartbeatInterval;
    while (!stopping_ && base::MonotonicNow() < due) {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
}

void WorkingServers::Announce(Server& server) {
  upstreams::UpstreamReport report;
  report.id = server.id;
  report.started_unix_ms = server.started_unix_ms;
  report.sequence = ++server.sequence;
  report.service = server.service;
  report.address = server.address;
  report.data_centre = server.data_centre;
  report.cold_left = ColdLeft(server);
  report.version = "v1";
  report.slots = kSlots;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    const auto& replica = replicas_[(server.sequence + i) % replicas_.size()];
    const auto answer = soak::Call(replica, platform::Heartbeat(report), kCallTimeout);
    if (answer && answer->status == 200) return;
  }
}

}  // namespace wagtailpick::stops
