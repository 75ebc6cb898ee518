#include "node/entry_node.h"

#include <criterion/criterion.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "cluster/acceptor.h"
#include "testing/loopback_address.h"
#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using wagtailpick::testing::LoopbackAddress;

/// The last bytes of the addresses of the node and of its peer.
constexpr int kOwnNode = 20;
constexpr int kPeerNode = 21;
constexpr std::uint16_t kClusterPort = 17'833;
constexpr std::uint16_t kOrdersPort = 17'834;
constexpr std::uint16_t kCallersPort = 17'835;
constexpr std::uint16_t kReadinessPort = 17'836;
constexpr std::uint16_t kMetricsPort = 17'837;
constexpr milliseconds kTick{50};
constexpr seconds kTimeout{8};

/// An entry, and a stand-in for the replica that it follows.
class FollowingEntry {
 public:
  FollowingEntry() {
    cluster::Acceptor::Hooks hooks;
    hooks.opened = [](const cluster::Session& /*session*/) {};
    hooks.closed = [](const cluster::Session& /*session*/, const std::string& /*reason*/) {};
    hooks.message = [](const cluster::Session& /*session*/, const cluster::Message& /*message*/) {};
    hooks.pinged = [](const cluster::Session& /*session*/) {};
    hooks.ready_changed = [](const cluster::Session& /*session*/) {};
    hooks.followed = [this](const cluster::Session& session) { session_ = session.id; };
    auto acceptor = cluster::Acceptor::Start(
        loop_, base::Endpoint{LoopbackAddress(kPeerNode), kClusterPort}, hooks);
    cr_assert(acceptor.has_value());
    acceptor_ = std::move(acceptor.value());
    node::EntryOptions options;
    options.node.vm = "entry-0";
    options.node.data_centre = "dc-0";
    options.node.regions = {{"dc-0", "east"}};
    options.node.ip = LoopbackAddress(kOwnNode);
    options.node.cluster_port = kClusterPort;
    options.node.seeds = {{LoopbackAddress(kPeerNode), kOrdersPort}};
    options.node.metrics = base::Endpoint{LoopbackAddress(kOwnNode), kMetricsPort};
    options.callers = {LoopbackAddress(kOwnNode), kCallersPort};
    options.readiness = {LoopbackAddress(kOwnNode), kReadinessPort};
    auto started = node::EntryNode::Start(loop_, options, {});
    cr_assert(started.has_value());
    entry_ = std::move(started.value());
    cr_assert(RunUntil([this] { return session_ != 0; }));
  }

  ~FollowingEntry() {
    acceptor_.reset();
    entry_.reset();
  }
  FollowingEntry(const FollowingEntry&) = delete;
  FollowingEntry& operator=(const FollowingEntry&) = delete;

  void SendToEntry(const cluster::Message& message) { acceptor_->Send(session_, message); }

  /// Waits until a gauge of the entry has the value `expected`.
  bool GaugeBecomes(const std::string& name, int expected) {
    const std::string line = "\n" + name + " " + std::to_string(expected) + "\n";
    return RunUntil([&] { return ("\n" + MetricsPage()).find(line) != std::string::npos; });
  }

 private:
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = base::MonotonicNow() + kTimeout;
    while (!condition()) {
      if (base::MonotonicNow() >= end) return false;
      RunFor(kTick);
    }
    return true;
  }

  void RunFor(milliseconds span) { wagtailpick::testing::RunFor(loop_, span); }

  std::string MetricsPage() {
    asio::ip::tcp::socket socket(loop_);
    asio::error_code error;
    socket.connect({asio::ip::make_address(LoopbackAddress(kOwnNode)), kMetricsPort}, error);
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n";
    if (!error) asio::write(socket, asio::buffer(request), error);
    RunFor(kTick);
    std::string page(64UL * 1024, '\0');
    if (!error) socket.non_blocking(true, error);
    page.resize(error ? 0 : socket.read_some(asio::buffer(page), error));
    return page;
  }

  asio::io_context loop_{1};
  std::unique_ptr<cluster::Acceptor> acceptor_;
  std::unique_ptr<node::EntryNode> entry_;
  std::uint64_t session_ = 0;
};

}  // namespace

// Guards against a gauge that shows upstreams as ejected although the entry has not passed them
// over since its replica became silent.
Test(entry_node, counts_no_ejected_upstream_without_valid_conditions) {
  FollowingEntry entry;
  entry.SendToEntry(cluster::Conditions{{{"i-1", true}, {"i-2", true}, {"i-3", false}}});
  cr_assert(entry.GaugeBecomes("wagtailpick_upstreams_spared", 2));
  cr_expect(entry.GaugeBecomes("wagtailpick_upstreams_spared", 0));
}
