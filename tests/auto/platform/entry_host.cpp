#include "entry_host.h"

#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <future>
#include <utility>

#include "platform/caller_dialect.h"
#include "platform/catalog_json.h"
#include "platform/entry_api.h"
#include "platform/standin_wire.h"
#include "soak/http_call.h"

namespace wagtailpick::platform_test {
namespace {

constexpr std::uint16_t kCallersPort = 17'831;
constexpr std::uint16_t kReadinessPort = 17'832;
constexpr std::uint16_t kServerPort = 17'833;
constexpr std::chrono::milliseconds kPollInterval{50};
constexpr int kMaxPolls = 400;
constexpr std::chrono::milliseconds kHeartbeatInterval{300};
constexpr std::uint32_t kSlots = 200;

}  // namespace

EntryHost::EntryHost(const ControlGroup& group, base::Duration grace) {
  options_.node = group.EntryNodeOptions();
  options_.callers = {options_.node.ip, kCallersPort};
  options_.readiness = {options_.node.ip, kReadinessPort};
  options_.retry_bound.slack = 100;
  options_.grace = grace;
  node::EntryNode::Hooks hooks;
  hooks.decode_catalog = platform::DecodeCatalog;
  hooks.dialect = platform::CallerDialect();
  hooks.serve_readiness = platform::ReadinessApi([] { return true; });
  auto started = node::EntryNode::Start(loop_, options_, std::move(hooks));
  cr_assert(started.has_value());
  entry_ = std::move(started.value());
  thread_ = std::thread([this] { loop_.run(); });
}

EntryHost::~EntryHost() {
  loop_.stop();
  thread_.join();
}

bool EntryHost::WaitUntilReady() {
  for (int i = 0; i < kMaxPolls; ++i) {
    std::promise<bool> ready;
    asio::post(loop_, [&] { ready.set_value(entry_->ready()); });
    if (ready.get_future().get()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void EntryHost::Drain() {
  asio::post(loop_, [this] {
    entry_->Drain([this] {
      drained_ = true;
      loop_.stop();
    });
  });
}

void EntryHost::DrainAfterBlockedLoop(base::Duration blocked_for) {
  std::promise<void> blocked;
  asio::post(loop_, [&blocked, blocked_for] {
    blocked.set_value();
    std::this_thread::sleep_for(blocked_for);
  });
  blocked.get_future().wait();
  Drain();
}

int EntryHost::accepting_addresses() const {
  asio::io_context loop;
  int accepting = 0;
  for (const auto port : {kCallersPort, kReadinessPort}) {
    asio::ip::tcp::socket socket(loop);
    asio::error_code error;
    socket.connect({asio::ip::make_address(options_.node.ip), port}, error);
    if (!error) ++accepting;
  }
  return accepting;
}

std::optional<http::Response> EntryHost::Call(const http::Request& request,
                                              base::Duration timeout) const {
  return soak::Call(base::ToString(options_.callers), request, timeout);
}

WorkingServer::WorkingServer(const ControlGroup& group, std::string service, Work work)
    : work_(std::move(work)) {
  report_.id = "i-working";
  report_.started_unix_ms = base::WallNowMillis();
  report_.service = std::move(service);
  report_.address = base::ToString({group.EntryNodeOptions().ip, kServerPort});
  report_.data_centre = "dc-0";
  report_.slots = kSlots;
  auto started = net::HttpListener::Start(
      loop_, {group.EntryNodeOptions().ip, kServerPort},
      [this](const std::shared_ptr<net::InboundRequest>& inbound) {
        {
          const std::lock_guard lock(mutex_);
          runs_.insert(platform::RequestIdOf(inbound->request));
        }
        const auto timer = std::make_shared<asio::steady_timer>(loop_, work_(inbound->request));
        timer->async_wait([inbound, timer](asio::error_code) {
          inbound->Answer(platform::ServerAnswer(platform::RequestIdOf(inbound->request), "done"));
        });
      },
      [] { return net::ServerPolicy(); });
  cr_assert(started.has_value());
  listener_ = std::move(started.value());
  serving_ = std::thread([this] { loop_.run(); });
  announcing_ = std::thread([this, &group] { Announce(group); });
}

WorkingServer::~WorkingServer() {
  running_ = false;
  announcing_.join();
  loop_.stop();
  serving_.join();
}

bool WorkingServer::HasRun(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  return runs_.contains(request_id);
}

void WorkingServer::Announce(const ControlGroup& group) {
  while (running_) {
    ++report_.sequence;
    static_cast<void>(group.Call(report_.sequence % group.size(), platform::Heartbeat(report_)));
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

}  // namespace wagtailpick::platform_test
