#include "control_group.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "platform/catalog_json.h"
#include "soak/http_call.h"

namespace wagtailpick::platform_test {
namespace {

constexpr std::size_t kReplicas = 3;
constexpr std::uint16_t kOrdersPort = 17'821;
constexpr std::uint16_t kDirectoryPort = 17'822;
constexpr std::uint16_t kClusterPort = 17'823;
constexpr std::uint16_t kMetricsPort = 17'824;
constexpr base::Duration kCallTimeout = std::chrono::seconds(1);
constexpr base::Duration kStartTimeout = std::chrono::seconds(20);
constexpr std::chrono::milliseconds kRetryDelay{100};
/// Time for a replica to handle raw bytes.
constexpr std::chrono::milliseconds kRawDelay{2};

std::map<std::string, std::string> RegionsOfTest() {
  return {{"dc-0", "east"}, {"dc-1", "east"}, {"dc-2", "west"}};
}

/// Addresses of different test processes must differ, as they run at the same time.
std::string AddressOf(std::size_t node) {
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + process % 64) + "." + std::to_string(process / 64 % 250) +
         "." + std::to_string(10 + node);
}

}  // namespace

std::uint16_t ControlGroup::orders_port() { return kOrdersPort; }
std::uint16_t ControlGroup::cluster_port() { return kClusterPort; }

ControlGroup::ControlGroup() {
  for (std::size_t i = 0; i < kReplicas; ++i) nodes_.push_back(std::make_unique<Node>());
  for (std::size_t i = 0; i < kReplicas; ++i) Start(*nodes_[i], i);
}

void ControlGroup::Start(Node& node, std::size_t number) {
  node.ip = AddressOf(number);
  node::ControlOptions options;
  options.node.vm = "replica-" + std::to_string(number);
  options.node.data_centre = "dc-" + std::to_string(number);
  options.node.regions = RegionsOfTest();
  options.node.ip = node.ip;
  options.node.cluster_port = kClusterPort;
  options.node.metrics = base::Endpoint{node.ip, kMetricsPort};
  for (std::size_t i = 0; i < kReplicas; ++i) {
    options.node.seeds.push_back({AddressOf(i), kOrdersPort});
  }
  options.orders = {node.ip, kOrdersPort};
  options.directory = {node.ip, kDirectoryPort};
  options.data_folder = folder_.MakeEmpty(options.node.vm);
  options.first_start = true;
  node.api = std::make_unique<platform::ControlApi>([&node] { return node.control.get(); });
  node::ControlNode::Hooks hooks;
  hooks.check_catalog = [](const std::string& bytes) -> base::Result<std::uint64_t> {
    BOOST_OUTCOME_TRY(catalog, platform::DecodeCatalog(bytes));
    return catalog.version();
  };
  hooks.serve_orders = [&node](const std::shared_ptr<net::InboundRequest>& inbound) {
    node.api->Serve(inbound);
  };
  hooks.serve_directory = hooks.serve_orders;
  auto started = node::ControlNode::Start(node.loop, options, std::move(hooks));
  cr_assert(started.has_value());
  node.control = std::move(started.value());
  node.thread = std::thread([&node] { node.loop.run(); });
}

node::NodeOptions ControlGroup::EntryNodeOptions() const {
  node::NodeOptions options;
  options.vm = "entry-0";
  options.data_centre = "dc-0";
  options.regions = RegionsOfTest();
  options.ip = AddressOf(kReplicas);
  options.cluster_port = kClusterPort;
  for (const auto& node : nodes_) options.seeds.push_back({node->ip, kOrdersPort});
  return options;
}

ControlGroup::~ControlGroup() {
  for (const auto& node : nodes_) {
    node->loop.stop();
    if (node->thread.joinable()) node->thread.join();
  }
}

void ControlGroup::Drain(std::size_t node) {
  auto& draining = *nodes_[node];
  asio::post(draining.loop, [&draining] {
    draining.control->Drain([&draining] {
      draining.loop.stop();
      draining.drained = true;
    });
  });
}

std::optional<http::Response> ControlGroup::Call(std::size_t node,
                                                 const http::Request& request) const {
  return soak::Call(base::ToString({nodes_[node]->ip, kOrdersPort}), request, kCallTimeout);
}

bool ControlGroup::CallUntilAccepted(const http::Request& request) const {
  const auto end = base::MonotonicNow() + kStartTimeout;
  for (std::size_t i = 0; base::MonotonicNow() < end; ++i) {
    const auto answer = Call(i % nodes_.size(), request);
    if (answer && answer->status == 200) return true;
    std::this_thread::sleep_for(kRetryDelay);
  }
  return false;
}

void ControlGroup::SendRaw(std::size_t node, std::uint16_t port, const std::string& bytes) const {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  asio::error_code error;
  socket.connect({asio::ip::make_address(nodes_[node]->ip), port}, error);
  if (!error) asio::write(socket, asio::buffer(bytes), error);
  std::this_thread::sleep_for(kRawDelay);
}

std::optional<double> ControlGroup::Metric(std::size_t node, const std::string& name) const {
  const auto page = soak::Call(base::ToString({nodes_[node]->ip, kMetricsPort}),
                               {"GET", "/metrics", {{"Host", "metrics"}}, "", ""}, kCallTimeout);
  if (!page) return std::nullopt;
  const auto at = page->body.find("\n" + name + " ");
  if (at == std::string::npos) return std::nullopt;
  return std::stod(page->body.substr(at + name.size() + 2));
}

}  // namespace wagtailpick::platform_test
