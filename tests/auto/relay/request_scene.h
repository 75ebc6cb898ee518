#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "relay_fixture.h"

namespace wagtailpick::relay_test {

/// Longest time until a state is reached, and until an event has ended a request at once.
constexpr base::Duration kSoon = std::chrono::milliseconds(900);
/// Requests of the test route end after 1.2 s.
constexpr base::Duration kWait = std::chrono::seconds(3);

/// State of a request when an event comes.
enum class State {
  kAwaitsToken,
  kConnecting,
  kSent,
  kHedged,
  kSentAgain,
  kAnswerHalfRead,
  /// The first attempt was refused. The second one is connecting when the time is up.
  kRefusedBefore,
  /// The first attempt was lost. The second one is connecting when the time is up.
  kLostBefore,
  /// The first attempt is connecting when the time is up.
  kConnectingAtDeadline,
};

constexpr std::array<base::EnumName<State>, 9> kStateNames{{
    {State::kAwaitsToken, "awaits token"},
    {State::kConnecting, "connecting"},
    {State::kSent, "sent"},
    {State::kHedged, "hedged"},
    {State::kSentAgain, "sent again"},
    {State::kAnswerHalfRead, "answer half read"},
    {State::kRefusedBefore, "refused before"},
    {State::kLostBefore, "lost before"},
    {State::kConnectingAtDeadline, "connecting at the deadline"},
}};

/// What happens to a request in a state.
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
  /// Nothing but the end of the request's time.
  kDeadline,
  /// The loop runs nothing until the request's time is over.
  kLoopBlocked,
  /// An upstream states that it has not run the request.
  kRefused,
  /// All upstreams that still run the request state that they have not run it.
  kAllRefused,
  /// An upstream that has run the request answers 503, its own failure.
  kFailedWith503,
  /// An upstream answers 429.
  kAnsweredWith429,
};

constexpr std::array<base::EnumName<Event>, 17> kEventNames{{
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
    {Event::kDeadline, "deadline"},
    {Event::kLoopBlocked, "loop blocked"},
    {Event::kRefused, "refused"},
    {Event::kAllRefused, "all refused"},
    {Event::kFailedWith503, "failed with 503"},
    {Event::kAnsweredWith429, "answered with 429"},
}};

/// Whether an upstream may have run the request, or may run it.
bool MayHaveRun(State state);

bool IsIdempotent(State state);

/// Whether `event` is an answer of an upstream.
bool IsAnswer(Event event);

/// Whether `event` can come in `state`: answers come only where an upstream runs the request and
/// has not begun to answer.
bool IsPossible(State state, Event event);

/// Waits until `condition` holds. Returns whether it does.
bool WaitFor(const std::function<bool()>& condition, base::Duration time = kSoon);

/// A caller that has sent a request.
class Caller {
 public:
  explicit Caller(const RelayHost& host);
  void Close();
  void Reset();
  void EndStream();

  /// Reads until the relay closes the connection.
  std::string ReadAll();

 private:
  asio::io_context loop_;
  asio::ip::tcp::socket socket_;
};

/// An address at which connections are neither accepted nor refused: the queue of its listening
/// socket is full.
class SilentAddress {
 public:
  SilentAddress();
  std::string address() const;

 private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<asio::ip::tcp::socket> queued_;
};

/// A request that has reached a state.
class Scene {
 public:
  explicit Scene(State state);
  void Apply(Event event);
  std::string ReadAll();
  /// Whether the request ends within `time`.
  bool EndsWithin(base::Duration time);
  /// Number of times that the request has reached an upstream.
  int arrivals() const;

 private:
  std::vector<std::string> Addresses() const;
  bool IsReached();
  void ApplyToHost(Event event);
  void ApplyAnswer(Event event);
  /// Makes one of the upstreams that run the request answer. Returns false if none does.
  bool Answer(const std::string& text);

  State state_;
  std::atomic<int> requests_ = 0;
  SilentAddress silent_;
  FakeUpstream upstream_;
  FakeUpstream other_;
  std::unique_ptr<RelayHost> host_;
  std::unique_ptr<Caller> caller_;
  int requests_before_ = 0;
};

}  // namespace wagtailpick::relay_test
