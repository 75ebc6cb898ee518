#include "request_scene.h"

#include <criterion/criterion.h>

#include <array>
#include <asio/write.hpp>
#include <thread>

namespace wagtailpick::relay_test {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kOwn503 = "HTTP/1.1 503 Failed\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kOwn429 = "HTTP/1.1 429 Later\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
constexpr base::Duration kPollInterval = milliseconds(2);
constexpr base::Duration kGrace = milliseconds(6'000);
/// Longer than the timeout of the test route, 1.2 s.
constexpr base::Duration kBlockedTime = milliseconds(1'300);
/// Shorter than the connect timeout of 400 ms.
constexpr base::Duration kShortRouteTimeout = milliseconds(350);

bool IsConnectingAtDeadline(State state) {
  return state == State::kRefusedBefore || state == State::kLostBefore ||
         state == State::kConnectingAtDeadline;
}

bool HasSilentAddress(State state) {
  return state == State::kConnecting || IsConnectingAtDeadline(state);
}

/// Returns the script of the upstreams, which count in `arrivals` together.
FakeUpstream::Script ScriptFor(State state, std::atomic<int>& arrivals) {
  return [state, &arrivals](const std::string&, int) -> RawAnswer {
    const bool first = arrivals++ == 0;
    if (state == State::kAwaitsToken && first) {
      return {"HTTP/1.1 200 OK\r\nId: 1\r\nLimit: 1\r\nContent-Length: 3\r\n\r\nEND", false};
    }
    if (state == State::kRefusedBefore) {
      return {std::string(kRefusal), false};
    }
    if (state == State::kLostBefore) return {"", true};
    if (state == State::kSentAgain && first) return {"", true};
    if (state == State::kAnswerHalfRead) {
      return {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf", false};
    }
    return {"", false};
  };
}

}  // namespace

bool MayHaveRun(State state) {
  return state != State::kAwaitsToken && state != State::kConnecting &&
         state != State::kRefusedBefore && state != State::kConnectingAtDeadline;
}

bool IsIdempotent(State state) {
  return state == State::kHedged || state == State::kSentAgain || state == State::kLostBefore;
}

bool IsAnswer(Event event) {
  return event == Event::kRefused || event == Event::kAllRefused ||
         event == Event::kFailedWith503 || event == Event::kAnsweredWith429;
}

bool IsPossible(State state, Event event) {
  return !IsAnswer(event) || state == State::kSent || state == State::kHedged ||
         state == State::kSentAgain;
}

bool WaitFor(const std::function<bool()>& condition, base::Duration time) {
  const auto end = base::MonotonicNow() + time;
  while (base::MonotonicNow() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

Caller::Caller(const RelayHost& host) : socket_(loop_) {
  socket_.connect({asio::ip::make_address(host.endpoint().address), host.endpoint().port});
  asio::write(socket_, asio::buffer(Request("1")));
}

void Caller::Close() { socket_.close(); }

void Caller::Reset() {
  socket_.set_option(asio::socket_base::linger(true, 0));
  socket_.close();
}

void Caller::EndStream() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }

std::string Caller::ReadAll() {
  std::string received;
  if (!socket_.is_open()) return received;
  socket_.non_blocking(true);
  const auto end = base::MonotonicNow() + kWait;
  while (base::MonotonicNow() < end) {
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

SilentAddress::SilentAddress() : acceptor_(loop_, {asio::ip::make_address("127.0.0.1"), 0}) {
  acceptor_.listen(0);
  constexpr int kQueuedConnections = 4;
  for (int i = 0; i < kQueuedConnections; ++i) {
    // The loop never runs: connecting only begins.
    queued_.emplace_back(loop_).async_connect(acceptor_.local_endpoint(), [](asio::error_code) {});
  }
}

std::string SilentAddress::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

Scene::Scene(State state)
    : state_(state), upstream_(ScriptFor(state, requests_)), other_(ScriptFor(state, requests_)) {
  host_ = std::make_unique<RelayHost>(Addresses(), IsIdempotent(state));
  host_->AnswerTokenRequests([](const auto&) { return std::nullopt; });
  if (IsConnectingAtDeadline(state)) host_->SetRouteTimeout(kShortRouteTimeout);
  if (state == State::kAwaitsToken) {
    cr_assert(StatusOf(host_->Exchange(Request("1"), kWait)) == 200);
  }
  requests_before_ = requests_;
  caller_ = std::make_unique<Caller>(*host_);
  cr_assert(WaitFor([this] { return IsReached(); }), "the state is not reached");
}

// Of upstreams that are alike, the first one gets the first attempt.
std::vector<std::string> Scene::Addresses() const {
  std::vector<std::string> addresses;
  const bool connects_only = state_ == State::kConnecting || state_ == State::kConnectingAtDeadline;
  if (!connects_only) addresses.push_back(upstream_.address());
  if (state_ == State::kHedged || state_ == State::kSentAgain) {
    addresses.push_back(other_.address());
  }
  if (HasSilentAddress(state_)) addresses.push_back(silent_.address());
  return addresses;
}

void Scene::Apply(Event event) {
  if (IsAnswer(event)) return ApplyAnswer(event);
  switch (event) {
    case Event::kClientReset:
      return caller_->Reset();
    case Event::kClientClosed:
      return caller_->Close();
    case Event::kClientStreamEnded:
      return caller_->EndStream();
    case Event::kDeadline:
      return;
    default:
      return ApplyToHost(event);
  }
}

void Scene::ApplyToHost(Event event) {
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
      cr_expect(host_->RefuseUnsentRequests() == (MayHaveRun(state_) ? 0 : 1));
      return;
    case Event::kGraceTimeOver:
      host_->StartDraining(kGrace, kGrace);
      cr_expect(host_->EndRequests() == 1);
      cr_expect(host_->EndRequests() == 0);
      return;
    case Event::kCatalogChanged:
      return host_->SetRouteTimeout(milliseconds(100));
    case Event::kUpstreamLeft:
      return host_->RemoveUpstream(upstream_.address());
    case Event::kReplicasLost:
      return host_->LoseReplicas();
    case Event::kLoopBlocked:
      return host_->BlockLoop(kBlockedTime);
    default:
      cr_assert_fail("no event of the entry");
  }
}

void Scene::ApplyAnswer(Event event) {
  const std::string_view refusal_or_429 = event == Event::kAnsweredWith429 ? kOwn429 : kRefusal;
  const std::string text(event == Event::kFailedWith503 ? kOwn503 : refusal_or_429);
  cr_expect(Answer(text));
  while (event == Event::kAllRefused && Answer(text)) continue;
}

bool Scene::Answer(const std::string& text) {
  return upstream_.AnswerRunning(text) || other_.AnswerRunning(text);
}

std::string Scene::ReadAll() { return caller_->ReadAll(); }

bool Scene::EndsWithin(base::Duration time) {
  return WaitFor([this] { return host_->running() == 0; }, time);
}

int Scene::arrivals() const { return requests_ - requests_before_; }

bool Scene::IsReached() {
  switch (state_) {
    case State::kAwaitsToken:
      return host_->token_requests() == 1;
    case State::kConnecting:
    case State::kConnectingAtDeadline:
      return host_->running() == 1;
    case State::kRefusedBefore:
    case State::kLostBefore:
      return host_->ended_attempts() == 1 && host_->running() == 1;
    case State::kSent:
    case State::kAnswerHalfRead:
      return arrivals() == 1;
    case State::kHedged:
    case State::kSentAgain:
      return arrivals() == 2;
  }
  return false;
}

}  // namespace wagtailpick::relay_test
