#include "node/metrics_page.h"

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

}  // namespace wagtailpick::node
