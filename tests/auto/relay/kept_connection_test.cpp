#include <criterion/criterion.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/relay.h"

// Requests for upstreams that reset their kept connections. The relay and the upstreams share one
// loop, so that the order of events is fixed.

namespace {

namespace base = wagtailpick::base;
namespace catalog = wagtailpick::catalog;
namespace http = wagtailpick::http;
namespace net = wagtailpick::net;
namespace relay = wagtailpick::relay;

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kService = "s";
constexpr milliseconds kTimeout{1'200};
constexpr std::chrono::seconds kWait{5};

/// Answers each request, and keeps its connections open until it resets them.
class KeepingUpstream {
 public:
  explicit KeepingUpstream(asio::io_context& loop)
      : acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  void ResetConnections() {
    for (auto& socket : std::exchange(sockets_, {})) {
      asio::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  /// Refuses connections from now on.
  void Stop() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    ResetConnections();
  }

  int requests() const { return requests_; }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  void Accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket accepted) {
      if (error) return;
      sockets_.push_back(std::make_shared<tcp::socket>(std::move(accepted)));
      Read(sockets_.back(), std::make_shared<std::string>());
      Accept();
    });
  }

  void Read(const Socket& socket, const std::shared_ptr<std::string>& input) {
    asio::async_read_until(*socket, asio::dynamic_buffer(*input), "\r\n\r\n",
                           [this, socket, input](asio::error_code error, std::size_t length) {
                             if (error) return;
                             input->erase(0, length);
                             ++requests_;
                             asio::error_code ignored;
                             asio::write(*socket, asio::buffer(kAnswer), ignored);
                             Read(socket, input);
                           });
  }

  static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  tcp::acceptor acceptor_;
  std::vector<Socket> sockets_;
  int requests_ = 0;
};

class CallerRequest : public net::InboundRequest {
 public:
  CallerRequest() {
    request = {"GET", "/x", {{"Host", "h"}}, {}, "127.0.0.1"};
    received_at = base::MonotonicNow();
  }

  void Answer(http::Response response) override { status = response.status; }
  void Abort() override { status = 0; }

  std::optional<int> status;
};

/// A relay with one route to some upstreams.
class Scene {
 public:
  explicit Scene(bool idempotent, int upstream_count = 1) {
    catalog::Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/";
    route.idempotent = idempotent;
    route.timeout = kTimeout;
    route.objective = milliseconds(300);
    route.attempts = 2;
    route.targets = {{kService, 1}};
    catalog::Service service;
    service.name = kService;
    state_.catalog =
        std::make_shared<const catalog::Catalog>(catalog::Catalog{1, {route}, {service}, {}});
    for (int i = 0; i < upstream_count; ++i) AddUpstream("u" + std::to_string(i));
    relay::RelayOptions options;
    options.vm = "e1";
    options.data_centre = "dc";
    options.regions = {{"dc", "region"}};
    relay_ = std::make_unique<relay::Relay>(loop_, options, MakeDialect(), state_, metrics_);
    relay_->SetEntries({options.vm});
  }

  /// Sends a request and returns the status of its answer; -1 if none comes.
  int Send() {
    const auto request = std::make_shared<CallerRequest>();
    relay_->Handle(request);
    const auto end = base::MonotonicNow() + kWait;
    while (!request->status && base::MonotonicNow() < end) loop_.run_one_for(kWait);
    return request->status.value_or(-1);
  }

  /// Calls `hook` before the next request is written, after its connection was chosen.
  void set_before_write(std::function<void()> hook) { before_write_ = std::move(hook); }
  KeepingUpstream& upstream() { return *upstreams_.front(); }
  std::vector<std::unique_ptr<KeepingUpstream>>& upstreams() { return upstreams_; }

 private:
  void AddUpstream(const std::string& id) {
    upstreams_.push_back(std::make_unique<KeepingUpstream>(loop_));
    wagtailpick::upstreams::UpstreamReport report;
    report.id = id;
    report.service = kService;
    report.address = upstreams_.back()->address();
    report.data_centre = "dc";
    state_.upstreams.Apply(report, {}, base::MonotonicNow());
  }

  relay::Dialect MakeDialect() {
    relay::Dialect dialect;
    dialect.parse_request = [](const http::Request&) -> base::Result<relay::RequestAttributes> {
      relay::RequestAttributes attributes;
      attributes.host = "h";
      attributes.request_id = "1";
      return attributes;
    };
    dialect.build_upstream_request = [this](const http::Request& request, const std::string&,
                                            base::Duration) {
      if (const auto hook = std::exchange(before_write_, nullptr)) hook();
      return http::Request{request.method, request.target, request.headers, {}, request.peer};
    };
    dialect.classify_answer = [](const http::Response&, const relay::RequestAttributes&) {
      relay::ClassifiedAnswer answer;
      answer.kind = relay::AnswerKind::kFinal;
      return answer;
    };
    return dialect;
  }

  asio::io_context loop_;
  std::vector<std::unique_ptr<KeepingUpstream>> upstreams_;
  relay::RoutingState state_;
  wagtailpick::metrics::Registry metrics_;
  std::function<void()> before_write_;
  std::unique_ptr<relay::Relay> relay_;
};

}  // namespace

// Guards against a refusal although the only upstream is sound: it closed an idle connection just
// before a request was written to it, so that the request was not sent.
Test(kept_connection, a_reset_before_the_request_is_written) {
  for (const bool idempotent : {true, false}) {
    Scene scene(idempotent);
    cr_assert(scene.Send() == 200);
    scene.set_before_write([&] { scene.upstream().ResetConnections(); });
    const int status = scene.Send();
    cr_expect(status == 200, "status %d", status);
    cr_expect(scene.upstream().requests() == 2, "%d requests", scene.upstream().requests());
  }
}

// Guards against a refusal although one upstream is sound: two others died just before the request
// was written to a kept connection, and both were tried on new ones.
Test(kept_connection, two_upstreams_die_before_the_request_is_written) {
  for (const bool idempotent : {true, false}) {
    Scene scene(idempotent, 3);
    cr_assert(scene.Send() == 200);
    auto& upstreams = scene.upstreams();
    std::partition(upstreams.begin(), upstreams.end(),
                   [](const auto& upstream) { return upstream->requests() > 0; });
    scene.set_before_write([&] {
      upstreams[0]->Stop();
      upstreams[1]->Stop();
    });
    const int status = scene.Send();
    cr_expect(status == 200, "status %d", status);
    cr_expect(upstreams[2]->requests() == 1, "%d requests", upstreams[2]->requests());
  }
}
