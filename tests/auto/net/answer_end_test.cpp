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

#include "net/upstream_connection.h"
#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using net::ExchangeOutcome;

constexpr std::chrono::seconds kMaxTime{3};
constexpr std::chrono::milliseconds kStep{5};
/// A body that no buffers of a connection take whole.
constexpr std::size_t kMoreThanBuffers = 64UL * 1024 * 1024;

/// How an upstream ends its connection.
enum class End { kFin, kReset, kFinThenReset };

/// An exchange with an upstream that the test plays.
class Exchange {
 public:
  explicit Exchange(std::size_t body_bytes)
      : acceptor_(loop_, {asio::ip::address_v4::loopback(), 0}),
        upstream_(loop_),
        connection_(std::make_shared<net::UpstreamConnection>(
            loop_, base::Endpoint{"127.0.0.1", acceptor_.local_endpoint().port()},
            net::MessageLimits{})) {
    const auto body = std::make_shared<const std::string>(body_bytes, 'b');
    connection_->Exchange({"POST / HTTP/1.1\r\n\r\n", body, false},
                          [this](net::ExchangeResult done) { result_ = std::move(done); });
    acceptor_.accept(upstream_);
    const auto end = base::MonotonicNow() + kMaxTime;
    while (upstream_.available() == 0 && base::MonotonicNow() < end) Run();
    cr_assert(upstream_.available() > 0, "no request arrives");
  }

  void Write(std::string_view bytes) { asio::write(upstream_, asio::buffer(bytes)); }
  void Read() {
    std::array<char, 1'024> bytes{};
    upstream_.read_some(asio::buffer(bytes));
  }
  /// Runs the loop, so that the connection reads what has come.
  void Run() { testing::RunFor(loop_, kStep); }
  void Finish(End end) {
    if (end != End::kReset) upstream_.shutdown(asio::ip::tcp::socket::shutdown_send);
    if (end == End::kFin) return;
    upstream_.set_option(asio::socket_base::linger(true, 0));
    upstream_.close();
  }
  net::ExchangeResult Result() {
    const auto end = base::MonotonicNow() + kMaxTime;
    while (!result_ && base::MonotonicNow() < end) Run();
    cr_assert(result_.has_value(), "the exchange doesn't end");
    return *result_;
  }

 private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket upstream_;
  std::shared_ptr<net::UpstreamConnection> connection_;
  std::optional<net::ExchangeResult> result_;
};

struct EndCase {
  std::string_view name;
  std::string_view answer;
  End end;
  ExchangeOutcome outcome;
};

constexpr std::string_view kOpen = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\na part";
constexpr std::string_view kLong = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part";
constexpr std::string_view kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na part";
constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n";
constexpr std::string_view kLastChunk =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n0\r\n\r\n";

std::vector<EndCase> EndCases() {
  return {
      {"open, reset", kOpen, End::kReset, ExchangeOutcome::kBroken},
      {"open, ended", kOpen, End::kFin, ExchangeOutcome::kAnswered},
      {"open, ended, then reset", kOpen, End::kFinThenReset, ExchangeOutcome::kAnswered},
      {"too short, reset", kLong, End::kReset, ExchangeOutcome::kBroken},
      {"too short, ended", kLong, End::kFin, ExchangeOutcome::kBroken},
      {"too short, ended, then reset", kLong, End::kFinThenReset, ExchangeOutcome::kBroken},
      {"whole, reset", kWhole, End::kReset, ExchangeOutcome::kAnswered},
      {"whole, ended", kWhole, End::kFin, ExchangeOutcome::kAnswered},
      {"without its last chunk, reset", kChunked, End::kReset, ExchangeOutcome::kBroken},
      {"without its last chunk, ended", kChunked, End::kFin, ExchangeOutcome::kBroken},
      {"with its last chunk, reset", kLastChunk, End::kReset, ExchangeOutcome::kAnswered},
  };
}

void Check(const EndCase& end_case, const net::ExchangeResult& result, const char* when) {
  cr_expect(result.outcome == end_case.outcome, "%s, %s: %s, %s", end_case.name.data(), when,
            net::ToString(result.outcome).data(), result.detail.c_str());
  if (result.outcome != ExchangeOutcome::kAnswered) return;
  cr_expect(result.response.body == "a part", "%s, %s", end_case.name.data(), when);
}

}  // namespace

// Guards against a part of an answer that is taken for all of it: the connection is reset while the
// request's body is being written, so the write reports the reset, and the read sees an end of the
// stream without an error.
Test(answer_end, tells_a_reset_from_the_end_while_the_request_is_being_written) {
  for (const auto& end_case : EndCases()) {
    for (const bool reads_before : {false, true}) {
      Exchange exchange(kMoreThanBuffers);
      exchange.Write(end_case.answer);
      if (reads_before) exchange.Run();
      exchange.Finish(end_case.end);
      Check(end_case, exchange.Result(), reads_before ? "read before the end" : "read at the end");
    }
  }
}

// As above, after the request was written.
Test(answer_end, tells_a_reset_from_the_end_after_the_request_was_written) {
  for (const auto& end_case : EndCases()) {
    Exchange exchange(100);
    exchange.Read();
    exchange.Write(end_case.answer);
    exchange.Run();
    exchange.Finish(end_case.end);
    Check(end_case, exchange.Result(), "after the request");
  }
}

// Guards against a sound answer that passes as whole when it is cut at any of its bytes.
Test(answer_end, takes_no_part_of_an_answer_for_all_of_it) {
  const std::string with_trailer = std::string(kChunked) + "0\r\nX-A: b\r\n\r\n";
  for (const std::string_view answer : {kWhole, std::string_view(with_trailer), kOpen}) {
    const auto head = answer.find("\r\n\r\n") + 4;
    for (std::size_t size = 1; size <= answer.size(); ++size) {
      for (const auto end : {End::kFin, End::kReset}) {
        Exchange exchange(100);
        exchange.Read();
        exchange.Write(answer.substr(0, size));
        exchange.Run();
        exchange.Finish(end);
        const bool is_open = answer == kOpen && size >= head && end == End::kFin;
        const bool is_whole = answer != kOpen && size == answer.size();
        const auto outcome = exchange.Result().outcome;
        cr_expect((outcome == ExchangeOutcome::kAnswered) == (is_open || is_whole),
                  "%zu bytes, end %d: %s", size, static_cast<int>(end),
                  net::ToString(outcome).data());
      }
    }
  }
}
