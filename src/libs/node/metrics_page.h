#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <optional>

#include "base/endpoint.h"
#include "base/memory_budget.h"
#include "base/result.h"
#include "metrics/registry.h"
#include "net/http_listener.h"

namespace wagtailpick::node {

/// Serves the metrics in Prometheus text format under /metrics. `registry` must outlive the
/// listener. Returns null without an endpoint; fails with `kUnavailable` when it cannot listen.
base::Result<std::unique_ptr<net::HttpListener>> ServeMetrics(
    asio::io_context& loop, const std::optional<base::Endpoint>& endpoint,
    metrics::Registry& registry);

/// Sets the gauges of the process's memory and of a memory budget: its size, and for each use what
/// it holds and how many times it had no room, and the most that all uses have held together.
void SetMemoryGauges(const base::MemoryBudget& budget, metrics::Registry& registry);

}  // namespace wagtailpick::node
