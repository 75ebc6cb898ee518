#include "harness/replica_probe.h"

#include <asio/io_context.hpp>

#include "base/monotonic_time.h"
#include "cluster/dialer.h"

namespace wagtailpick::processes {
namespace {

constexpr base::Duration kTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kTick{10};

}  // namespace

std::optional<std::set<std::string>> UpstreamsKnownAt(const base::Endpoint& replica) {
  asio::io_context loop(1);
  std::optional<std::set<std::string>> ids;
  std::unique_ptr<cluster::Dialer> dialer;
  cluster::Dialer::Hooks hooks;
  hooks.hello = [] {
    return cluster::Hello{cluster::NodeRole::kEntry, "probe", "dc-0", "", "127.0.0.1:1", 0};
  };
  hooks.ping = [] { return cluster::Ping{}; };
  // A request without digests asks for all reports.
  hooks.up = [&dialer] { dialer->Send(cluster::ReportsRequest{}); };
  hooks.down = [](const std::string& /*reason*/) {};
  hooks.message = [&ids](const cluster::Message& message) {
    const auto* reports = std::get_if<cluster::Reports>(&message);
    if (reports == nullptr || !reports->complete_parts) return;
    ids.emplace();
    for (const auto& aged : reports->reports) ids->insert(aged.report.id);
  };
  dialer = std::make_unique<cluster::Dialer>(loop, replica, std::move(hooks));
  const auto end = base::MonotonicNow() + kTimeout;
  while (!ids && base::MonotonicNow() < end) {
    dialer->Tick(base::MonotonicNow());
    loop.restart();
    loop.run_for(kTick);
  }
  return ids;
}

}  // namespace wagtailpick::processes
