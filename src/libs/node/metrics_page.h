#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <optional>

#include "base/endpoint.h"
#include "base/result.h"
#include "metrics/registry.h"
#include "net/http_listener.h"

namespace wagtailpick::node {

/// Serves the metrics as text under /metrics; null when there is no address for them.
base::Result<std::unique_ptr<net::HttpListener>> ServeMetrics(
    asio::io_context& loop, const std::optional<base::Endpoint>& endpoint,
    metrics::Registry& registry);

}  // namespace wagtailpick::node
