#include "node/metrics_page.h"

#include <string>

#include "base/process_memory.h"

namespace wagtailpick::node {

base::Result<std::unique_ptr<net::HttpListener>> ServeMetrics(
    asio::io_context& loop, const std::optional<base::Endpoint>& endpoint,
    metrics::Registry& registry) {
  if (!endpoint) return std::unique_ptr<net::HttpListener>();
  return net::HttpListener::Start(
      loop, *endpoint,
      [&registry](const std::shared_ptr<net::InboundRequest>& inbound) {
        http::Response response;
        if (inbound->request.target == "/metrics") {
          response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
          response.body = registry.RenderText();
        } else {
          response.status = 404;
        }
        inbound->Answer(std::move(response));
      },
      [] { return net::ServerPolicy(); });
}

void SetMemoryGauges(const base::MemoryBudget& budget, metrics::Registry& registry) {
  const auto process = base::ReadProcessMemory();
  registry.GaugeAt("wagtailpick_process_resident_bytes").Set(process.resident);
  registry.GaugeAt("wagtailpick_process_peak_bytes").Set(process.peak);
  registry.GaugeAt("wagtailpick_memory_budget_bytes")
      .Set(static_cast<std::int64_t>(budget.total()));
  registry.GaugeAt("wagtailpick_memory_held_peak_bytes")
      .Set(static_cast<std::int64_t>(budget.peak()));
  for (const auto use : base::kMemoryUses) {
    const std::string labels = "use=\"" + std::string(base::ToString(use)) + "\"";
    registry.GaugeAt("wagtailpick_memory_held_bytes", labels)
        .Set(static_cast<std::int64_t>(budget.held(use)));
    registry.GaugeAt("wagtailpick_memory_refusals", labels)
        .Set(static_cast<std::int64_t>(budget.refusals(use)));
  }
}

}  // namespace wagtailpick::node
