#include "net/upstream_connection.h"

#include <criterion/criterion.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr const char* kLoopback = "127.0.0.1";
constexpr std::chrono::seconds kMaxTime{3};
constexpr std::size_t kReadBytes = 65'536;

/// Runs one exchange on a new connection to `port` and returns its result.
std::optional<net::ExchangeResult> ExchangeOnce(asio::io_context& loop, std::uint16_t port,
                                                std::function<bool()> may_send) {
  const auto connection = std::make_shared<net::UpstreamConnection>(
      loop, base::Endpoint{kLoopback, port}, net::MessageLimits{1'024, 1'024});
  connection->may_send = std::move(may_send);
  std::optional<net::ExchangeResult> result;
  connection->Exchange({"GET / HTTP/1.1\r\n\r\n", nullptr, false}, [&](net::ExchangeResult done) {
    result = std::move(done);
    loop.stop();
  });
  loop.run_for(kMaxTime);
  return result;
}

/// One connection to an upstream that the test plays.
class Link {
 public:
  Link()
      : acceptor_(loop_, {asio::ip::make_address(kLoopback), 0}),
        upstream_(loop_),
        connection_(std::make_shared<net::UpstreamConnection>(
            loop_, base::Endpoint{kLoopback, acceptor_.local_endpoint().port()},
            net::MessageLimits{1'024, 1'024})) {}

  /// Runs one exchange whose answer keeps the connection open.
  void ExchangeOnce() {
    StartExchange();
    Accept();
    const auto end = base::MonotonicNow() + kMaxTime;
    while (upstream_.available() == 0 && base::MonotonicNow() < end) {
      RunFor(std::chrono::milliseconds(5));
    }
    cr_assert(upstream_.available() > 0, "no request arrives");
    // Closing a socket with unread bytes resets its connection.
    std::array<char, 1'024> request{};
    cr_assert(upstream_.read_some(asio::buffer(request)) > 0);
    Write("HTTP/1.1 204 No Content\r\n\r\n");
    cr_assert(RunExchange() == net::ExchangeOutcome::kAnswered);
  }
  void StartExchange(std::size_t body_bytes = 0) {
    result_.reset();
    const auto body = std::make_shared<const std::string>(body_bytes, 'b');
    connection_->Exchange({"GET / HTTP/1.1\r\n\r\n", body, false},
                          [this](net::ExchangeResult done) { result_ = std::move(done); });
  }
  /// Makes `action` come between the opening of the connection and the first write.
  void BeforeFirstWrite(std::function<void()> action) {
    connection_->may_send = [action = std::move(action)] {
      action();
      return true;
    };
  }
  void Accept() { acceptor_.accept(upstream_); }
  void Write(std::string_view bytes) { asio::write(upstream_, asio::buffer(bytes)); }
  void Reset() {
    upstream_.set_option(asio::socket_base::linger(true, 0));
    upstream_.close();
  }
  void Close() { upstream_.close(); }
  /// Reads at the upstream to the end of its stream and returns how it ended.
  asio::error_code EndOfUpstreamStream() {
    asio::error_code error;
    std::vector<char> bytes(kReadBytes);
    while (!error) upstream_.read_some(asio::buffer(bytes), error);
    return error;
  }
  void RunFor(std::chrono::milliseconds time) { testing::RunFor(loop_, time); }
  std::optional<net::ExchangeOutcome> RunExchange() {
    const auto end = base::MonotonicNow() + kMaxTime;
    while (!result_ && base::MonotonicNow() < end) RunFor(std::chrono::milliseconds(5));
    return result_ ? std::optional(result_->outcome) : std::nullopt;
  }
  bool has_result() const { return result_.has_value(); }
  std::shared_ptr<net::UpstreamConnection>& connection() { return connection_; }

 private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket upstream_;
  std::shared_ptr<net::UpstreamConnection> connection_;
  std::optional<net::ExchangeResult> result_;
};

}  // namespace

// Guards against an upstream that is taken for unreachable because a request for it was withdrawn
// while its connection was being opened.
Test(upstream_connection, tells_a_withdrawn_request_from_a_failed_connect) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address(kLoopback), 0});
  const auto port = acceptor.local_endpoint().port();
  const auto withdrawn = ExchangeOnce(loop, port, [] { return false; });
  cr_assert(withdrawn);
  cr_expect(net::ToString(withdrawn->outcome) == "not_sent");
  acceptor.close();
  loop.restart();
  const auto refused = ExchangeOnce(loop, port, [] { return true; });
  cr_assert(refused);
  cr_expect(net::ToString(refused->outcome) == "not_connected");
}

// Guards against a request that is taken for one that may have run although its kept connection had
// been reset before a byte of it was written.
Test(upstream_connection, has_not_sent_on_a_kept_connection_that_was_reset) {
  Link link;
  link.ExchangeOnce();
  link.Reset();
  link.StartExchange();
  cr_expect(link.RunExchange() == net::ExchangeOutcome::kNotSent);
}

// Guards against the same on a new connection, which an upstream beyond its limit of connections
// resets at once.
Test(upstream_connection, has_not_sent_on_a_new_connection_that_was_reset) {
  Link link;
  link.BeforeFirstWrite([&link] {
    link.Accept();
    link.Reset();
  });
  link.StartExchange();
  cr_expect(link.RunExchange() == net::ExchangeOutcome::kNotSent);
}

// Guards against a request that is taken for not sent although the kernel has taken bytes of it:
// the connection was closed, not reset, so the write succeeds.
Test(upstream_connection, may_have_sent_on_a_kept_connection_that_was_closed) {
  Link link;
  link.ExchangeOnce();
  link.Close();
  link.StartExchange();
  cr_expect(link.RunExchange() == net::ExchangeOutcome::kBroken);
}

// Guards against the same while the rest of a large body is still to be written.
Test(upstream_connection, may_have_sent_a_part_before_the_connection_was_lost) {
  constexpr std::size_t kMoreThanBuffers = 64UL * 1024 * 1024;
  Link link;
  link.StartExchange(kMoreThanBuffers);
  link.Accept();
  link.RunFor(std::chrono::milliseconds(50));
  link.Reset();
  cr_expect(link.RunExchange() == net::ExchangeOutcome::kBroken);
}

// Guards against bytes of a request that reach an upstream after the request was given up: the
// kernel goes on sending what a socket has taken when it is only closed.
Test(upstream_connection, resets_the_connection_of_a_request_that_is_given_up) {
  constexpr std::size_t kMoreThanBuffers = 64UL * 1024 * 1024;
  Link link;
  link.StartExchange(kMoreThanBuffers);
  link.Accept();
  link.RunFor(std::chrono::milliseconds(50));
  link.connection()->Close();
  cr_expect(link.EndOfUpstreamStream() == asio::error::connection_reset);
}

// Guards against a connection that is reset though its exchange has ended, so that the upstream
// could take its answer for lost.
Test(upstream_connection, closes_an_idle_connection_without_a_reset) {
  Link link;
  link.ExchangeOnce();
  link.connection()->Close();
  cr_expect(link.EndOfUpstreamStream() == asio::error::eof);
}

// Guards against a callback after the connection was closed while the end of its write was to be
// handled.
Test(upstream_connection, calls_nothing_back_after_its_close) {
  Link link;
  link.ExchangeOnce();
  link.Reset();
  link.StartExchange();
  link.connection()->Close();
  link.RunFor(std::chrono::milliseconds(50));
  cr_expect(!link.has_result());
}

// Guards against a kept connection that is used for a request although its upstream has closed it:
// the kernel takes the bytes, and nobody knows whether they were read.
Test(upstream_connection, is_not_usable_once_its_upstream_has_closed_it) {
  Link link;
  link.ExchangeOnce();
  cr_expect(link.connection()->usable());
  link.Close();
  cr_expect(!link.connection()->usable());
}

// Guards against bytes that came before a request and are taken for its answer.
Test(upstream_connection, is_not_usable_with_bytes_of_no_request) {
  Link link;
  link.ExchangeOnce();
  link.Write("HTTP/1.1 204 No Content\r\n\r\n");
  cr_expect(!link.connection()->usable());
}
