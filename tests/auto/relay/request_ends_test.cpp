#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <thread>

#include "base/enum_names.h"
#include "relay_fixture.h"
#include "request_scene.h"

// Each state of a request meets each event that can come in it. All tests guard against a request
// that ends without an answer, with two, or with 503 although it has run.

namespace {

using std::chrono::milliseconds;
using wagtailpick::limits::TokenAnswer;
using wagtailpick::relay_test::Caller;
using wagtailpick::relay_test::Event;
using wagtailpick::relay_test::FakeUpstream;
using wagtailpick::relay_test::IsAnswer;
using wagtailpick::relay_test::IsIdempotent;
using wagtailpick::relay_test::IsPossible;
using wagtailpick::relay_test::kEventNames;
using wagtailpick::relay_test::kSoon;
using wagtailpick::relay_test::kStateNames;
using wagtailpick::relay_test::kWait;
using wagtailpick::relay_test::MayHaveRun;
using wagtailpick::relay_test::RawAnswer;
using wagtailpick::relay_test::RelayHost;
using wagtailpick::relay_test::Request;
using wagtailpick::relay_test::Scene;
using wagtailpick::relay_test::State;
using wagtailpick::relay_test::StatusOf;
using wagtailpick::relay_test::WaitFor;

constexpr int kTimedOut = 504;
constexpr int kMayHaveRun = 502;
constexpr int kNotRun = 503;
constexpr int kTooManyRequests = 429;
constexpr int kNoAnswer = 0;

/// Whether the request goes on after the end of its client's stream. The entry cannot tell a close
/// from a client that waits for its answer.
bool ContinuesWithoutStream(State state) { return MayHaveRun(state) && !IsIdempotent(state); }

/// Returns the status that the caller gets after an answer of an upstream. The other upstream of a
/// hedged request still runs it, and a request that is sent again may have run before.
int ExpectedAfterAnswer(State state, Event event) {
  if (state == State::kHedged && event != Event::kAllRefused) return kTimedOut;
  if (state == State::kSentAgain || event == Event::kFailedWith503) return kMayHaveRun;
  return event == Event::kAnsweredWith429 ? kTooManyRequests : kNotRun;
}

/// Returns the status that the caller gets. None of the upstreams answers in time, but by `event`.
int ExpectedStatus(State state, Event event) {
  if (IsAnswer(event)) return ExpectedAfterAnswer(state, event);
  if (event == Event::kClientReset || event == Event::kClientClosed) return kNoAnswer;
  if (!MayHaveRun(state)) return kNotRun;
  if (event == Event::kClientStreamEnded && !ContinuesWithoutStream(state)) return kNoAnswer;
  return event == Event::kGraceTimeOver ? kMayHaveRun : kTimedOut;
}

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
    if (!IsPossible(state, event)) continue;
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
    const int refused = state == State::kRefusedBefore ? 1 : 0;
    if (!MayHaveRun(state)) cr_expect(scene.arrivals() == refused, "%s: has run", label.c_str());
    cr_expect(expected != kNotRun || received.find("Retry-After: ") != std::string::npos, "%s",
              label.c_str());
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

// Guards also against 502 or 504 for a request that no upstream has run.
Test(request_ends, while_it_connects_after_a_refusal, .timeout = 60) {
  MeetAllEvents(State::kRefusedBefore);
}

Test(request_ends, while_it_connects_after_a_loss, .timeout = 60) {
  MeetAllEvents(State::kLostBefore);
}

Test(request_ends, while_it_connects_at_its_deadline, .timeout = 60) {
  MeetAllEvents(State::kConnectingAtDeadline);
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

// Guards against a request that reaches an upstream after its deadline: its token comes while the
// loop is blocked, and is handled before the deadline's timer.
Test(request_ends, sends_nothing_after_its_deadline) {
  FakeUpstream limited([](const std::string&, int) -> RawAnswer {
    return {"HTTP/1.1 200 OK\r\nId: 1\r\nLimit: 1\r\nContent-Length: 3\r\n\r\nEND", false};
  });
  RelayHost host({limited.address()});
  host.AnswerTokenRequests([](const auto&) { return TokenAnswer{0, true, {}}; }, milliseconds(150));
  cr_assert(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  Caller caller(host);
  cr_assert(WaitFor([&host] { return host.token_requests() == 1; }));
  host.BlockLoop(milliseconds(1'300));
  cr_expect(StatusOf(caller.ReadAll()) == kNotRun);
  cr_expect(limited.requests() == 1);
}
