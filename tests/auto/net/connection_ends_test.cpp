#include <criterion/criterion.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "http_listener_fixture.h"
#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using net::HttpListenerFixture;
using net::ReadArrived;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t kLongAnswer = 8UL * 1024 * 1024;
/// Reads in a row that bring nothing, after which no more is expected.
constexpr int kQuietReads = 10;

/// What has arrived on a connection when the event comes, and what the client sends after it.
struct State {
  const char* name;
  /// Sent and handled before the event.
  std::string_view handled;
  /// Whether the requests in `handled` are answered before the event.
  bool answered;
  /// Sent before the event and not read yet.
  std::string_view unread;
  /// Sent after the event.
  std::string_view rest;
  /// Length of the answers' bodies.
  std::size_t answer_length = 2;
  /// Whether an answer is being written at the event.
  bool writing = false;
};

constexpr std::string_view kTwoGets =
    "GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kHalfHead = "GET /x HTTP/1.1\r\nHo";
constexpr std::string_view kHalfBody =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234";
constexpr std::string_view kHalfChunks =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n";

constexpr std::array<State, 9> kStates{{
    {"accepted", "", false, "", kGet},
    {"head half read", kHalfHead, false, "", "st: h\r\n\r\n"},
    {"body half read", kHalfBody, false, "", "56789"},
    {"chunks half read", kHalfChunks, false, "", "5\r\n56789\r\n0\r\n\r\n"},
    {"in the handler", kGet, false, "", ""},
    {"answer half written", kGet, false, "", "", kLongAnswer, true},
    {"kept and idle", kGet, true, "", kGet},
    {"next request unread", kGet, true, kGet, ""},
    {"next request pipelined", kTwoGets, false, "", ""},
}};

enum Event { kDrain, kStopAccepting, kHandlerThrows, kHalfClose, kReset, kDestroyed };

struct Outcome {
  /// Complete answers that the client has received.
  std::size_t answers = 0;
  /// Requests that were handed over.
  std::size_t handed_over = 0;
};

/// One connection that is driven into a state and through an event.
class Run {
 public:
  explicit Run(const State& state) : state_(state), client_(fixture_.Connect()) {
    fixture_.handle = [this](std::shared_ptr<net::InboundRequest> request) {
      ++outcome_.handed_over;
      if (throws_) throw std::runtime_error("cannot handle this");
      fixture_.inbound.push_back(std::move(request));
    };
    fixture_.Run();
    Send(state.handled);
    fixture_.Run();
    if (state.answered || state.writing) Answer();
    if (!state.unread.empty()) Send(state.unread);
  }

  void Apply(Event event) {
    if (event == kDrain) {
      fixture_.policy.close_after_answer = true;
      fixture_.listener->CloseIdle();
    }
    if (event == kStopAccepting) fixture_.listener->StopAccepting();
    if (event == kHandlerThrows) throws_ = true;
    if (event == kHalfClose) client_.shutdown(tcp::socket::shutdown_send);
    if (event == kReset) {
      client_.set_option(asio::socket_base::linger(true, 0));
      client_.close();
    }
    if (event == kDestroyed) fixture_.listener.reset();
  }

  /// Sends the rest, answers what is handed over, and reads until nothing more comes.
  Outcome Finish() {
    Send(state_.rest);
    std::string received;
    for (int quiet = 0; quiet < kQuietReads; ++quiet) {
      fixture_.Run(std::chrono::milliseconds(2));
      Answer();
      if (!client_.is_open()) continue;
      const auto part = ReadArrived(client_).bytes;
      received += part;
      if (!part.empty()) quiet = 0;
    }
    const std::string end = "\r\n\r\n" + std::string(state_.answer_length, 'x');
    for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
      const bool failed = received.compare(at, 13, "HTTP/1.1 500 ") == 0;
      if (failed || received.find(end, at) != std::string::npos) ++outcome_.answers;
    }
    return outcome_;
  }

 private:
  void Send(std::string_view bytes) {
    asio::error_code ignored;
    asio::write(client_, asio::buffer(bytes), ignored);
  }

  void Answer() {
    for (const auto& request : std::exchange(fixture_.inbound, {})) {
      request->Answer(net::Ok(std::string(state_.answer_length, 'x')));
    }
    fixture_.Run(std::chrono::milliseconds(2));
  }

  const State& state_;
  HttpListenerFixture fixture_;
  tcp::socket client_;
  Outcome outcome_;
  bool throws_ = false;
};

/// Answers that the client gets in each state after one event, in the order of `kStates`.
struct Row {
  Event event;
  std::array<std::size_t, kStates.size()> answers;
};

void Check(const Row& row, std::size_t i) {
  Run run(kStates.at(i));
  run.Apply(row.event);
  const auto outcome = run.Finish();
  // Counts the answer before the event, too, which the client has not read by then.
  cr_expect(outcome.answers == row.answers.at(i), "event %d, %s: %zu answers, %zu expected",
            row.event, kStates.at(i).name, outcome.answers, row.answers.at(i));
  const bool excused = row.event == kHalfClose || row.event == kReset || row.event == kDestroyed;
  cr_expect(excused || outcome.answers == outcome.handed_over,
            "event %d, %s: %zu answers to %zu requests", row.event, kStates.at(i).name,
            outcome.answers, outcome.handed_over);
}

/// Runs the listener for longer than the interval between two timeout checks.
void RunBeyondTimeoutCheck(HttpListenerFixture& fixture) {
  wagtailpick::testing::RunFor(fixture.loop, std::chrono::milliseconds(600));
}

constexpr std::size_t kPipelined = kStates.size() - 1;

}  // namespace

// Guards against a request that was handed over and whose connection is closed without an answer,
// and against a connection that is closed with a request on its way.
Test(connection_ends, every_request_that_was_handed_over_is_answered) {
  const std::array<Row, 6> rows{{
      {kDrain, {1, 1, 1, 1, 1, 1, 1, 2, 2}},
      {kStopAccepting, {1, 1, 1, 1, 1, 1, 2, 2, 2}},
      {kHandlerThrows, {1, 1, 1, 1, 1, 1, 2, 2, 2}},
      {kHalfClose, {0, 0, 0, 0, 0, 1, 1, 1, 0}},
      {kReset, {0, 0, 0, 0, 0, 0, 0, 0, 0}},
      {kDestroyed, {0, 0, 0, 0, 0, 0, 1, 1, 0}},
  }};
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < kStates.size(); ++i) Check(row, i);
  }
}

// Guards against a pipelined request that was read and is dropped, as the answer before it closes
// the connection.
Test(connection_ends, a_drain_answers_requests_that_it_has_read) {
  Check({kDrain, {1, 1, 1, 1, 1, 1, 1, 2, 2}}, kPipelined);
}

// Guards against a request that is refused in its middle, as a lower limit came into force after it
// had begun.
Test(connection_ends, lower_limits_spare_a_request_that_has_begun) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  net::Send(client, kHalfBody);
  fixture.Run();
  fixture.policy.message.max_body_bytes = 4;
  net::Send(client, "56789");
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1, "%s", ReadArrived(client).bytes.c_str());
}

// Guards against a connection that keeps a higher limit for requests that begin after a lower one
// has come into force.
Test(connection_ends, lower_limits_apply_to_the_next_request) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  net::Send(client, kHalfBody);
  fixture.Run();
  fixture.policy.message.max_body_bytes = 4;
  net::Send(client, "56789");
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1, "%s", ReadArrived(client).bytes.c_str());
  std::exchange(fixture.inbound, {})[0]->Answer(net::Ok());
  fixture.Run();
  net::Send(client, kHalfBody);
  fixture.Run();
  cr_expect(ReadArrived(client).bytes.find("HTTP/1.1 413 ") != std::string::npos);
}

// Guards against a request that is refused by the limit of its start although a higher one has come
// into force since.
Test(connection_ends, higher_limits_apply_to_a_request_that_has_begun) {
  HttpListenerFixture fixture;
  fixture.policy.message.max_header_bytes = 20;
  auto client = fixture.Connect();
  net::Send(client, kHalfHead);
  fixture.Run();
  fixture.policy.message.max_header_bytes = 200;
  net::Send(client, "st: " + std::string(100, 'h') + "\r\n\r\n");
  fixture.Run();
  cr_expect(fixture.inbound.size() == 1, "%s", ReadArrived(client).bytes.c_str());
}

// Guards against status 408 in the middle of a request, as a shorter timeout came into force after
// it had begun.
Test(connection_ends, shorter_timeouts_spare_a_request_that_has_begun) {
  for (const auto& state : {kStates[1], kStates[2]}) {
    HttpListenerFixture fixture;
    auto client = fixture.Connect();
    net::Send(client, state.handled);
    fixture.Run();
    fixture.policy.header_timeout = std::chrono::milliseconds(1);
    fixture.policy.idle_timeout = std::chrono::milliseconds(1);
    RunBeyondTimeoutCheck(fixture);
    net::Send(client, state.rest);
    fixture.Run();
    cr_expect(fixture.inbound.size() == 1, "%s: %s", state.name, ReadArrived(client).bytes.c_str());
  }
}

// Guards against a kept connection that is closed before its client expects it: the client may send
// a request until the idle timeout that was in force when the connection became idle is over.
Test(connection_ends, shorter_timeouts_spare_a_connection_that_is_idle) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  for (int round = 0; round < 2; ++round) {
    fixture.policy.idle_timeout = std::chrono::seconds(15);
    net::Send(client, kGet);
    fixture.Run();
    cr_assert(fixture.inbound.size() == 1, "round %d", round);
    std::exchange(fixture.inbound, {})[0]->Answer(net::Ok());
    fixture.Run();
    fixture.policy.idle_timeout = std::chrono::milliseconds(1);
    RunBeyondTimeoutCheck(fixture);
    cr_assert(fixture.listener->connection_count() == 1, "round %d", round);
  }
  net::Send(client, kGet);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  std::exchange(fixture.inbound, {})[0]->Answer(net::Ok());
  fixture.Run();
  // The shorter timeout was in force when this idle time began.
  RunBeyondTimeoutCheck(fixture);
  cr_expect(fixture.listener->connection_count() == 0);
}
