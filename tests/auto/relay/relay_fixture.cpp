#include "relay_fixture.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <future>
#include <string_view>

#include "direct_request.h"

namespace wagtailpick::relay_test {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr std::uint32_t kAnnouncedSlots = 4;
constexpr base::Duration kRouteTimeout = std::chrono::milliseconds(1'200);

std::string HeaderOf(const http::Headers& headers, const char* name) {
  const auto* value = http::FindHeader(headers, name);
  return value == nullptr ? std::string() : *value;
}

/// Header names that only these tests use.
relay::Dialect TestDialect() {
  relay::Dialect dialect;
  dialect.parse_request =
      [](const http::Request& request) -> base::Result<relay::RequestAttributes> {
    relay::RequestAttributes attributes;
    attributes.request_id = HeaderOf(request.headers, "Id");
    attributes.host = "h";
    attributes.deadline = std::chrono::milliseconds(1'500);
    return attributes;
  };
  dialect.build_upstream_request = [](const http::Request& request, const std::string& upstream,
                                      base::Duration /*left*/) {
    http::Request copy{request.method, request.target, request.headers, {}, request.peer};
    copy.headers.push_back({"For", upstream});
    return copy;
  };
  dialect.classify_answer = [](const http::Response& response,
                               const relay::RequestAttributes& attributes) {
    relay::ClassifiedAnswer classified;
    if (http::FindHeader(response.headers, "Not-Run") != nullptr) {
      classified.kind = relay::AnswerKind::kNotRun;
    } else if (HeaderOf(response.headers, "Id") != attributes.request_id) {
      classified.kind = relay::AnswerKind::kForeign;
    } else if (response.status >= 500) {
      classified.kind = relay::AnswerKind::kServerFailure;
    } else {
      classified.kind = relay::AnswerKind::kFinal;
    }
    classified.leaving = http::FindHeader(response.headers, "Leaving") != nullptr;
    const auto back_off = HeaderOf(response.headers, "Pause-Ms");
    if (!back_off.empty()) classified.back_off_for = std::chrono::milliseconds(std::stoi(back_off));
    const auto limit = HeaderOf(response.headers, "Limit");
    if (!limit.empty()) classified.requests_per_second = std::stod(limit);
    return classified;
  };
  return dialect;
}

catalog::Catalog TestCatalog(bool idempotent, base::Duration timeout) {
  catalog::Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/";
  route.idempotent = idempotent;
  route.timeout = timeout;
  route.objective = std::chrono::milliseconds(300);
  route.attempts = 2;
  route.targets = {{"s", 1}};
  catalog::Service service;
  service.name = "s";
  return {1, {route}, {service}, {}};
}

upstreams::UpstreamReport ReportOf(const std::string& address) {
  upstreams::UpstreamReport report;
  report.id = address;
  report.service = "s";
  report.address = address;
  report.data_centre = "dc";
  return report;
}

int ConnectTo(const base::Endpoint& endpoint) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

}  // namespace

struct FakeUpstream::Connection {
  explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
  asio::ip::tcp::socket socket;
  std::string input;
  bool running = false;
  std::string output;
};

std::string Request(const std::string& id) {
  return "GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nConnection: close\r\n\r\n";
}

std::string Whole(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

int StatusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

FakeUpstream::FakeUpstream(Script script)
    : script_(std::move(script)), acceptor_(loop_, {asio::ip::make_address(kLoopback), 0}) {
  address_ = std::string(kLoopback) + ":" + std::to_string(acceptor_.local_endpoint().port());
  Accept();
  thread_ = std::thread([this] { loop_.run(); });
}

FakeUpstream::~FakeUpstream() {
  loop_.stop();
  thread_.join();
}

std::string FakeUpstream::address() const { return address_; }

bool FakeUpstream::AnswerRunning(const std::string& text) {
  std::promise<bool> answered;
  asio::post(loop_, [&] {
    for (const auto& weak : open_connections_) {
      const auto connection = weak.lock();
      if (connection == nullptr || !connection->running) continue;
      connection->running = false;
      asio::error_code ignored;
      asio::write(connection->socket, asio::buffer(text), ignored);
      return answered.set_value(true);
    }
    answered.set_value(false);
  });
  return answered.get_future().get();
}

void FakeUpstream::Crash() {
  crashed_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak : open_connections_) {
    if (const auto connection = weak.lock()) connection->socket.close(ignored);
  }
}

void FakeUpstream::Accept() {
  acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (error) return;
    ++connections_;
    const auto connection = std::make_shared<Connection>(std::move(socket));
    open_connections_.push_back(connection);
    Read(connection);
    Accept();
  });
}

// Requests of these tests have no body.
void FakeUpstream::Read(const std::shared_ptr<Connection>& connection) {
  asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
                         [this, connection](asio::error_code error, std::size_t length) {
                           if (error) {
                             cancelled_requests_ += connection->running ? 1 : 0;
                             return;
                           }
                           const std::string head = connection->input.substr(0, length);
                           connection->input.erase(0, length);
                           connection->running = true;
                           const auto answer = script_(head, ++requests_);
                           if (answer.crash) return Crash();
                           if (answer.text.empty() && answer.close) {
                             asio::error_code ignored;
                             connection->socket.close(ignored);
                             return;
                           }
                           connection->output = answer.text;
                           asio::error_code write_error;
                           asio::write(connection->socket, asio::buffer(connection->output),
                                       write_error);
                           if (!answer.text.empty()) connection->running = false;
                           if (answer.close) connection->socket.close(write_error);
                           if (!answer.close) Read(connection);
                         });
}

RelayHost::RelayHost(const std::vector<std::string>& upstreams, bool idempotent,
                     std::size_t memory_bytes)
    : idempotent_(idempotent), memory_(std::make_shared<base::MemoryBudget>(memory_bytes)) {
  routing_state_.catalog =
      std::make_shared<const catalog::Catalog>(TestCatalog(idempotent_, kRouteTimeout));
  for (const auto& address : upstreams) {
    routing_state_.upstreams.Apply(ReportOf(address), {}, base::MonotonicNow());
  }
  relay::RelayOptions options;
  options.vm = "e1";
  options.data_centre = "dc";
  options.regions = {{"dc", "region"}};
  options.retry_bound.slack = 100;
  options.memory = memory_;
  relay_ = std::make_unique<relay::Relay>(loop_, options, TestDialect(), routing_state_, metrics_);
  relay_->SetEntries({options.vm});
  // Another process may take the free port before the listener binds it. Another port is tried
  // then.
  for (int attempt = 0; listener_ == nullptr && attempt < 20; ++attempt) {
    {
      asio::ip::tcp::acceptor probe(loop_, {asio::ip::make_address(kLoopback), 0});
      endpoint_ = {kLoopback, probe.local_endpoint().port()};
    }
    auto started = net::HttpListener::Start(
        loop_, endpoint_,
        [this](std::shared_ptr<net::InboundRequest> inbound) {
          relay_->Handle(std::move(inbound));
        },
        [] { return net::ServerPolicy(); });
    if (started) listener_ = std::move(started.value());
  }
  thread_ = std::thread([this] { loop_.run(); });
}

RelayHost::~RelayHost() {
  loop_.stop();
  thread_.join();
}

void RelayHost::AnswerTokenRequests(TokenScript script, base::Duration delay) {
  asio::post(loop_, [this, script = std::move(script), delay] {
    relay_->token_requests().set_sender([this, script, delay](const limits::TokenRequest& request) {
      ++token_requests_;
      auto answer = script(request);
      if (!answer) return true;
      answer->id = request.id;
      const auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
      timer->async_wait([this, answer, timer](asio::error_code error) {
        if (!error) relay_->token_requests().HandleAnswer(*answer);
      });
      return true;
    });
  });
}

// A task may call functions of the host that run tasks themselves.
void RelayHost::RunOnLoop(const std::function<void()>& task) {
  if (std::this_thread::get_id() == thread_.get_id()) return task();
  std::promise<void> done;
  asio::post(loop_, [&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

std::future<int> RelayHost::PassOn(const std::string& id) {
  const auto request = std::make_shared<DirectRequest>(id);
  relay_->Handle(request);
  return request->status();
}

void RelayHost::StartDraining(base::Duration since, base::Duration grace) {
  RunOnLoop([&] { relay_->StartDraining(base::MonotonicNow() - since, grace); });
}

std::size_t RelayHost::EndRequests() {
  std::size_t ended = 0;
  RunOnLoop([&] { ended = relay_->EndRequests(); });
  return ended;
}

std::size_t RelayHost::RefuseUnsentRequests() {
  std::size_t refused = 0;
  RunOnLoop([&] { refused = relay_->RefuseUnsentRequests(); });
  return refused;
}

void RelayHost::SetRouteTimeout(base::Duration timeout) {
  RunOnLoop([&] {
    routing_state_.catalog =
        std::make_shared<const catalog::Catalog>(TestCatalog(idempotent_, timeout));
  });
}

void RelayHost::RemoveUpstream(const std::string& address) {
  RunOnLoop([&] {
    auto report = ReportOf(address);
    report.sequence = 1;
    report.state = upstreams::State::kLeft;
    routing_state_.upstreams.Apply(report, {}, base::MonotonicNow());
    relay_->DropUpstreamState(address, address, false);
  });
}

void RelayHost::Announce(const std::string& address, std::int64_t started_unix_ms,
                         std::uint64_t sequence) {
  RunOnLoop([&] {
    auto report = ReportOf(address);
    report.slots = kAnnouncedSlots;
    report.started_unix_ms = started_unix_ms;
    report.sequence = sequence;
    routing_state_.upstreams.Apply(report, {}, base::MonotonicNow());
  });
}

void RelayHost::LoseReplicas() {
  RunOnLoop([this] {
    relay_->token_requests().set_sender([](const limits::TokenRequest&) { return false; });
  });
}

void RelayHost::BlockLoop(base::Duration time) {
  RunOnLoop([time] { std::this_thread::sleep_for(time); });
}

std::size_t RelayHost::running() {
  std::size_t running = 0;
  RunOnLoop([&] { running = relay_->running(); });
  return running;
}

// Read on the loop, which never runs between the end of an attempt and the start of the next one.
std::size_t RelayHost::ended_attempts() {
  constexpr std::string_view kCount = "wagtailpick_upstream_seconds_count ";
  std::string text;
  RunOnLoop([&] { text = metrics_.RenderText(); });
  const auto at = text.find(kCount);
  return at == std::string::npos ? 0 : std::stoul(text.substr(at + kCount.size()));
}

std::size_t RelayHost::memory_held() {
  std::size_t sum = 0;
  RunOnLoop([&] {
    for (const auto use : base::kMemoryUses) sum += memory_->held(use);
  });
  return sum;
}

std::size_t RelayHost::memory_peak() {
  std::size_t peak = 0;
  RunOnLoop([&] { peak = memory_->peak(); });
  return peak;
}

std::string RelayHost::Exchange(const std::string& bytes, base::Duration wait) const {
  const int socket = ConnectTo(endpoint_);
  if (socket < 0) return "not connected";
  if (::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return "not sent";
  std::string answer;
  std::array<char, 4'096> buffer{};
  const auto end = std::chrono::steady_clock::now() + wait;
  while (std::chrono::steady_clock::now() < end) {
    pollfd waiting{socket, POLLIN, 0};
    if (::poll(&waiting, 1, 20) <= 0) continue;
    const auto length = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (length <= 0) break;
    answer.append(buffer.data(), static_cast<std::size_t>(length));
    if (answer.ends_with("END")) break;
  }
  ::close(socket);
  return answer;
}

void RelayHost::SendAndLeave(const std::string& bytes, base::Duration wait) const {
  const int socket = ConnectTo(endpoint_);
  if (socket < 0) return;
  if (::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    std::this_thread::sleep_for(wait);
  }
  ::close(socket);
}

}  // namespace wagtailpick::relay_test
