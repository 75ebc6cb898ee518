#include <criterion/criterion.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/enum_names.h"
#include "relay_fixture.h"

// Each state of a request meets each event around a stop. All tests guard against a request that
// ends without an answer, with two, or with 503 although it has run.

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::base::EnumName;
using wagtailpick::base::MonotonicNow;
using wagtailpick::relay_test::FakeUpstream;
using wagtailpick::relay_test::RawAnswer;
using wagtailpick::relay_test::RelayHost;
using wagtailpick::relay_test::Request;
using wagtailpick::relay_test::StatusOf;

/// Longest time until a state is reached, and until an event has ended a request at once.
constexpr Duration kSoon = milliseconds(900);
/// Requests of the test route end after 1.2 s.
constexpr Duration kWait = std::chrono::seconds(3);
constexpr Duration kPollInterval = milliseconds(2);
constexpr Duration kGrace = milliseconds(6'000);
constexpr int kTimedOut = 504;
constexpr int kMayHaveRun = 502;
constexpr int kNotRun = 503;
constexpr int kNoAnswer = 0;

enum class State {
  kAwaitsToken,
  kConnecting,
  kSent,
  kHedged,
  kSentAgain,
  kAnswerHalfRead,
};

constexpr std::array<EnumName<State>, 6> kStateNames{{
    {State::kAwaitsToken, "awaits token"},
    {State::kConnecting, "connecting"},
    {State::kSent, "sent"},
    {State::kHedged, "hedged"},
    {State::kSentAgain, "sent again"},
    {State::kAnswerHalfRead, "answer half read"},
}};

enum class Event {
  kDrainEarly,
  kDrainLate,
  kSecondSignal,
  kUnsentRefused,
  kGraceTimeOver,
  kClientReset,
  kClientClosed,
  kClientStreamEnded,
  kCatalogChanged,
  kUpstreamLeft,
  kReplicasLost,
};

constexpr std::array<EnumName<Event>, 11> kEventNames{{
    {Event::kDrainEarly, "drain, early"},
    {Event::kDrainLate, "drain, late"},
    {Event::kSecondSignal, "second signal"},
    {Event::kUnsentRefused, "unsent requests refused"},
    {Event::kGraceTimeOver, "grace time over"},
    {Event::kClientReset, "client reset the connection"},
    {Event::kClientClosed, "client closed the connection"},
    {Event::kClientStreamEnded, "client stream ended"},
    {Event::kCatalogChanged, "catalog changed"},
    {Event::kUpstreamLeft, "upstream left"},
    {Event::kReplicasLost, "replicas lost"},
}};

bool IsSent(State state) { return state != State::kAwaitsToken && state != State::kConnecting; }

bool IsIdempotent(State state) { return state == State::kHedged || state == State::kSentAgain; }

/// Whether the request goes on after the end of its client's stream. The entry cannot tell a close
/// from a client that waits for its answer.
bool ContinuesWithoutStream(State state) { return IsSent(state) && !IsIdempotent(state); }

/// Returns the status that the caller gets. None of the upstreams answers in time.
int ExpectedStatus(State state, Event event) {
  if (event == Event::kClientReset || event == Event::kClientClosed) return kNoAnswer;
  if (!IsSent(state)) return kNotRun;
  if (event == Event::kClientStreamEnded && !ContinuesWithoutStream(state)) return kNoAnswer;
  return event == Event::kGraceTimeOver ? kMayHaveRun : kTimedOut;
}

bool WaitFor(const std::function<bool()>& condition, Duration time = kSoon) {
  const auto end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

/// A caller that has sent a request.
class Caller {
 public:
  explicit Caller(const RelayHost& host) : socket_(loop_) {
    socket_.connect({asio::ip::make_address(host.endpoint().address), host.endpoint().port});
    asio::write(socket_, asio::buffer(Request("1")));
  }
  void Close() { socket_.close(); }
  void Reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }
  void EndStream() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }

  /// Reads until the relay closes the connection.
  std::string ReadAll() {
    std::string received;
    if (!socket_.is_open()) return received;
    socket_.non_blocking(true);
    const auto end = MonotonicNow() + kWait;
    while (MonotonicNow() < end) {
      std::array<char, 4'096> buffer{};
      asio::error_code error;
      const auto length = socket_.read_some(asio::buffer(buffer), error);
      received.append(buffer.data(), length);
      if (error && error != asio::error::would_block) return received;
      std::this_thread::sleep_for(kPollInterval);
    }
    cr_expect(false, "the connection is still open");
    return received;
  }

 private:
  asio::io_context loop_;
  asio::ip::tcp::socket socket_;
};

/// An address at which connections are neither accepted nor refused: the queue of its listening
/// socket is full.
class SilentAddress {
 public:
  SilentAddress() : acceptor_(loop_, {asio::ip::make_address("127.0.0.1"), 0}) {
    acceptor_.listen(0);
    constexpr int kQueuedConnections = 4;
    for (int i = 0; i < kQueuedConnections; ++i) {
      // The loop never runs: connecting only begins.
      queued_.emplace_back(loop_).async_connect(acceptor_.local_endpoint(),
                                                [](asio::error_code) {});
    }
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<asio::ip::tcp::socket> queued_;
};

/// Returns the script of the upstreams, which count in `arrivals` together.
FakeUpstream::Script ScriptFor(State state, std::atomic<int>& arrivals) {
  return [state, &arrivals](const std::string&, int) -> RawAnswer {
    const bool first = arrivals++ == 0;
    if (state == State::kAwaitsToken && first) {
      return {"HTTP/1.1 200 OK\r\nId: 1\r\nLimit: 1\r\nContent-Length: 3\r\n\r\nEND", false};
    }
    if (state == State::kSentAgain && first) return {"", true};
    if (state == State::kAnswerHalfRead) {
      return {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf", false};
    }
    return {"", false};
  };
}

/// A request that has reached a state.
class Scene {
 public:
  explicit Scene(State state)
      : state_(state), upstream_(ScriptFor(state, requests_)), other_(ScriptFor(state, requests_)) {
    std::vector<std::string> addresses{state == State::kConnecting ? silent_.address()
                                                                   : upstream_.address()};
    if (IsIdempotent(state)) addresses.push_back(other_.address());
    host_ = std::make_unique<RelayHost>(addresses, IsIdempotent(state));
    host_->AnswerTokenRequests([](const auto&) { return std::nullopt; });
    if (state == State::kAwaitsToken) {
      cr_assert(StatusOf(host_->Exchange(Request("1"), kWait)) == 200);
    }
    requests_before_ = requests_;
    caller_ = std::make_unique<Caller>(*host_);
    cr_assert(WaitFor([this] { return IsReached(); }), "the state is not reached");
  }

  void Apply(Event event) {
    switch (event) {
      case Event::kDrainEarly:
        return host_->StartDraining(milliseconds(0), kGrace);
      case Event::kDrainLate:
        return host_->StartDraining(kGrace, kGrace);
      case Event::kSecondSignal:
        host_->StartDraining(milliseconds(0), kGrace);
        return host_->StartDraining(milliseconds(100), kGrace);
      case Event::kUnsentRefused:
        host_->StartDraining(kGrace, kGrace);
        cr_expect(host_->RefuseUnsentRequests() == (IsSent(state_) ? 0 : 1));
        return;
      case Event::kGraceTimeOver:
        host_->StartDraining(kGrace, kGrace);
        cr_expect(host_->EndRequests() == 1);
        cr_expect(host_->EndRequests() == 0);
        return;
      case Event::kClientReset:
        return caller_->Reset();
      case Event::kClientClosed:
        return caller_->Close();
      case Event::kClientStreamEnded:
        return caller_->EndStream();
      case Event::kCatalogChanged:
        return host_->SetRouteTimeout(milliseconds(100));
      case Event::kUpstreamLeft:
        return host_->RemoveUpstream(upstream_.address());
      case Event::kReplicasLost:
        return host_->LoseReplicas();
    }
  }

  std::string ReadAll() { return caller_->ReadAll(); }
  bool EndsWithin(Duration time) {
    return WaitFor([this] { return host_->running() == 0; }, time);
  }
  /// Number of times that the request has reached an upstream.
  int arrivals() const { return requests_ - requests_before_; }

 private:
  bool IsReached() {
    switch (state_) {
      case State::kAwaitsToken:
        return host_->token_requests() == 1;
      case State::kConnecting:
        return host_->running() == 1;
      case State::kSent:
      case State::kAnswerHalfRead:
        return arrivals() == 1;
      case State::kHedged:
      case State::kSentAgain:
        return arrivals() == 2;
    }
    return false;
  }

  State state_;
  std::atomic<int> requests_ = 0;
  SilentAddress silent_;
  FakeUpstream upstream_;
  FakeUpstream other_;
  std::unique_ptr<RelayHost> host_;
  std::unique_ptr<Caller> caller_;
  int requests_before_ = 0;
};

int CountAnswers(const std::string& received) {
  constexpr std::string_view kStart = "HTTP/1.1 ";
  int count = 0;
  for (auto at = received.find(kStart); at != std::string::npos;
       at = received.find(kStart, at + 1)) {
    ++count;
  }
  return count;
}

void MeetAllEvents(State state) {
  for (const auto& [event, event_name] : kEventNames) {
    const auto label =
        std::string(wagtailpick::base::NameOf(kStateNames, state)) + ", " + std::string(event_name);
    Scene scene(state);
    scene.Apply(event);
    const auto received = scene.ReadAll();
    const int expected = ExpectedStatus(state, event);
    cr_expect(CountAnswers(received) == (expected == kNoAnswer ? 0 : 1), "%s: %s", label.c_str(),
              received.c_str());
    cr_expect(StatusOf(received) == expected, "%s: %d in place of %d", label.c_str(),
              StatusOf(received), expected);
    const bool continues = event == Event::kClientClosed && ContinuesWithoutStream(state);
    cr_expect(scene.EndsWithin(continues ? kWait : kSoon), "%s: still running", label.c_str());
    if (!IsSent(state)) cr_expect(scene.arrivals() == 0, "%s: has run", label.c_str());
  }
}

}  // namespace

Test(request_ends, while_it_awaits_a_token, .timeout = 60) { MeetAllEvents(State::kAwaitsToken); }

Test(request_ends, while_its_connection_is_opened, .timeout = 60) {
  MeetAllEvents(State::kConnecting);
}

Test(request_ends, while_an_upstream_runs_it, .timeout = 60) { MeetAllEvents(State::kSent); }

Test(request_ends, while_two_upstreams_run_it, .timeout = 60) { MeetAllEvents(State::kHedged); }

Test(request_ends, while_its_second_attempt_runs, .timeout = 60) {
  MeetAllEvents(State::kSentAgain);
}

Test(request_ends, while_its_answer_is_half_read, .timeout = 60) {
  MeetAllEvents(State::kAnswerHalfRead);
}

// Guards against an attempt for a client that has ended its stream and may have left: no more may
// reach an upstream then, and what has not run is refused.
Test(request_ends, sends_nothing_again_after_the_client_ended_its_stream) {
  FakeUpstream upstream([](const std::string&, int) -> RawAnswer {
    std::this_thread::sleep_for(milliseconds(300));
    return {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false};
  });
  const RelayHost host({upstream.address()}, false);
  Caller caller(host);
  cr_assert(WaitFor([&upstream] { return upstream.connections() == 1; }));
  std::this_thread::sleep_for(milliseconds(100));
  caller.EndStream();
  cr_expect(StatusOf(caller.ReadAll()) == kNotRun);
  cr_expect(upstream.requests() == 1);
}
