#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include "relay_fixture.h"

// Answers that state that their upstream leaves or backs off, and what crosses them.

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::limits::TokenAnswer;
using wagtailpick::limits::TokenRequest;
using wagtailpick::relay_test::FakeUpstream;
using wagtailpick::relay_test::RawAnswer;
using wagtailpick::relay_test::RelayHost;
using wagtailpick::relay_test::Request;
using wagtailpick::relay_test::StatusOf;
using wagtailpick::relay_test::Whole;

constexpr Duration kWait = std::chrono::seconds(3);
constexpr milliseconds kPollInterval{2};
constexpr int kLaterRequests = 5;
const std::string& LeavingRefusal() {
  static const std::string answer =
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
  return answer;
}

std::string LeavingAnswer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nEND";
}

std::string Refusal(milliseconds back_off) {
  return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nPause-Ms: " + std::to_string(back_off.count()) +
         "\r\nContent-Length: 0\r\n\r\n";
}

RawAnswer KeepRunning(const std::string& /*head*/, int /*number*/) { return {"", false}; }

/// Keeps the first `held` requests running and serves all later ones.
FakeUpstream::Script HoldFirst(int held) {
  return [held](const std::string& head, int number) {
    if (number <= held) return RawAnswer{"", false};
    const auto at = head.find("Id: ") + 4;
    return RawAnswer{Whole(head.substr(at, head.find("\r\n", at) - at)), false};
  };
}

bool Await(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::future<std::string> Start(const RelayHost& host, const std::string& id) {
  return std::async(std::launch::async, [&host, id] { return host.Exchange(Request(id), kWait); });
}

/// Sends some more requests and returns how many were served.
int CountServed(const RelayHost& host) {
  int served = 0;
  for (int i = 0; i < kLaterRequests; ++i) {
    if (StatusOf(host.Exchange(Request("later"), kWait)) == 200) ++served;
  }
  return served;
}

}  // namespace

// Guards against requests to an upstream whose refusal, with the word that it leaves, arrives after
// the request was hedged to another one.
Test(leaving_races, a_leaving_refusal_after_the_hedge) {
  FakeUpstream first(HoldFirst(1));
  FakeUpstream second(HoldFirst(1));
  RelayHost host({first.address(), second.address()});
  auto answer = Start(host, "1");
  cr_assert(Await([&] { return first.requests() + second.requests() == 1; }));
  FakeUpstream& leaving = first.requests() == 1 ? first : second;
  FakeUpstream& other = first.requests() == 1 ? second : first;
  cr_assert(Await([&] { return other.requests() == 1; }), "no hedge");
  cr_assert(leaving.AnswerRunning(LeavingRefusal()));
  std::this_thread::sleep_for(milliseconds(20));
  cr_assert(other.AnswerRunning(Whole("1")));
  cr_expect(StatusOf(answer.get()) == 200);
  cr_expect(CountServed(host) == kLaterRequests);
  host.RemoveUpstream(other.address());
  cr_expect(CountServed(host) == 0);
  cr_expect(leaving.requests() == 1, "%d requests", leaving.requests());
}

// Guards against a leaving answer that is taken for the answer to another request when the hedge
// was answered before it.
Test(leaving_races, a_leaving_answer_after_the_answer_of_the_hedge) {
  FakeUpstream first(HoldFirst(1));
  FakeUpstream second(HoldFirst(1));
  const RelayHost host({first.address(), second.address()});
  auto answer = Start(host, "1");
  cr_assert(Await([&] { return first.requests() + second.requests() == 2; }), "no hedge");
  cr_assert(first.AnswerRunning(Whole("1", "first END")));
  cr_expect(answer.get().ends_with("first END"));
  second.AnswerRunning(LeavingAnswer("1"));
  for (int i = 0; i < kLaterRequests; ++i) {
    const auto later = host.Exchange(Request("later"), kWait);
    cr_expect(StatusOf(later) == 200 && later.find("Leaving") == std::string::npos);
  }
}

// Guards against a request that is cut, or sent again, since another answer of its upstream stated
// that it leaves.
Test(leaving_races, a_leaving_answer_beside_a_running_request) {
  FakeUpstream leaving(KeepRunning);
  RelayHost host({leaving.address()}, false);
  host.Announce(leaving.address(), 0, 1);
  auto one = Start(host, "1");
  cr_assert(Await([&] { return leaving.requests() == 1; }));
  auto two = Start(host, "2");
  cr_assert(Await([&] { return leaving.requests() == 2; }));
  cr_assert(leaving.AnswerRunning(LeavingAnswer("1")));
  cr_expect(StatusOf(one.get()) == 200);
  cr_expect(CountServed(host) == 0);
  cr_assert(leaving.AnswerRunning(LeavingAnswer("2")));
  cr_expect(StatusOf(two.get()) == 200);
  cr_expect(leaving.requests() == 2, "%d requests", leaving.requests());
}

// Guards against a request that goes to a leaving upstream as it was chosen, and waited for a
// token, before the upstream left.
Test(leaving_races, a_leaving_answer_while_a_request_awaits_its_token) {
  const std::string limited =
      "HTTP/1.1 200 OK\r\nId: 1\r\nLimit: 5\r\nContent-Length: 3\r\n\r\nEND";
  FakeUpstream leaving([limited](const std::string&, int number) {
    return number == 1 ? RawAnswer{limited, false} : RawAnswer{"", false};
  });
  RelayHost host({leaving.address()});
  host.Announce(leaving.address(), 0, 1);
  cr_assert(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  host.AnswerTokenRequests([](const TokenRequest&) { return TokenAnswer{0, true, {}}; });
  auto running = Start(host, "2");
  cr_assert(Await([&] { return leaving.requests() == 2; }));
  host.AnswerTokenRequests(
      [](const TokenRequest&) {
        return TokenAnswer{0, true, {}};
      },
      milliseconds(150));
  auto waiting = Start(host, "3");
  cr_assert(Await([&] { return host.token_requests() == 2; }));
  cr_assert(leaving.AnswerRunning(LeavingAnswer("2")));
  cr_expect(StatusOf(running.get()) == 200);
  cr_expect(StatusOf(waiting.get()) == 503);
  cr_expect(leaving.requests() == 2, "%d requests", leaving.requests());
}

// Guards against a new process that gets no requests, as the one before it at the address left in
// an answer that arrived late.
Test(leaving_races, a_leaving_answer_of_an_older_run) {
  FakeUpstream upstream(HoldFirst(1));
  RelayHost host({upstream.address()});
  auto answer = Start(host, "1");
  cr_assert(Await([&] { return upstream.requests() == 1; }));
  host.Announce(upstream.address(), 1, 1);
  cr_assert(upstream.AnswerRunning(LeavingAnswer("1")));
  cr_expect(StatusOf(answer.get()) == 200);
  cr_expect(CountServed(host) == kLaterRequests);
}

// Guards against requests to a leaving upstream that an announcement, sent before it left, reports
// as ready.
Test(leaving_races, an_announcement_after_the_leaving_answer) {
  FakeUpstream leaving([](const std::string&, int) {
    return RawAnswer{LeavingAnswer("1"), false};
  });
  RelayHost host({leaving.address()});
  cr_assert(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  host.Announce(leaving.address(), 0, 7);
  cr_expect(CountServed(host) == 0);
  cr_expect(leaving.requests() == 1, "%d requests", leaving.requests());
}

// Guards against a back-off that a shorter one ends: the answer to the earlier request arrives
// last.
Test(leaving_races, the_older_of_two_back_offs_arrives_last) {
  FakeUpstream busy(KeepRunning);
  RelayHost host({busy.address()}, false);
  host.Announce(busy.address(), 0, 1);
  auto one = Start(host, "1");
  cr_assert(Await([&] { return busy.requests() == 1; }));
  auto two = Start(host, "2");
  cr_assert(Await([&] { return busy.requests() == 2; }));
  cr_assert(busy.AnswerRunning(Refusal(milliseconds(5'000))));
  cr_assert(busy.AnswerRunning(Refusal(milliseconds(50))));
  cr_expect(StatusOf(one.get()) == 503 && StatusOf(two.get()) == 503);
  std::this_thread::sleep_for(milliseconds(300));
  cr_expect(CountServed(host) == 0);
  cr_expect(busy.requests() == 2, "%d requests", busy.requests());
}

// Guards against a second sending to an upstream that has just stated that it leaves.
Test(leaving_races, a_retry_goes_to_another_upstream) {
  const std::array<std::string, 2> answers{
      LeavingRefusal(), "HTTP/1.1 500 Error\r\nId: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"};
  for (const auto& text : answers) {
    const auto leave = [text](const std::string&, int) { return RawAnswer{text, false}; };
    FakeUpstream first(leave);
    FakeUpstream second(leave);
    const RelayHost host({first.address(), second.address()});
    cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) >= 500);
    cr_expect(CountServed(host) == 0);
    cr_expect(first.requests() == 1 && second.requests() == 1, "%d and %d requests",
              first.requests(), second.requests());
  }
}

// Guards against a request that is sent on a connection that was being opened when an announcement
// stated that the upstream leaves.
Test(leaving_races, an_announcement_while_a_connection_opens) {
  FakeUpstream leaving(HoldFirst(0));
  FakeUpstream other(HoldFirst(0));
  RelayHost host({leaving.address()});
  std::future<int> status;
  host.RunOnLoop([&] {
    status = host.PassOn("1");
    host.Announce(other.address(), 0, 1);
    host.RemoveUpstream(leaving.address());
  });
  cr_expect(status.get() == 200);
  cr_expect(Await([&] { return leaving.connections() == 1; }), "no connection was opened");
  cr_expect(leaving.requests() == 0 && other.requests() == 1, "%d and %d requests",
            leaving.requests(), other.requests());
}

// Guards against a request that is sent on a connection that was being opened when the answer to
// another request stated that the upstream leaves.
Test(leaving_races, a_leaving_answer_while_a_connection_opens) {
  FakeUpstream leaving(KeepRunning);
  RelayHost host({leaving.address()}, false);
  host.Announce(leaving.address(), 0, 1);
  auto running = Start(host, "1");
  cr_assert(Await([&] { return leaving.requests() == 1; }));
  std::future<int> status;
  bool answered = false;
  host.RunOnLoop([&] {
    // The relay reads the answer before it learns that the connection has been opened.
    answered = leaving.AnswerRunning(LeavingAnswer("1"));
    status = host.PassOn("2");
  });
  cr_assert(answered);
  cr_expect(StatusOf(running.get()) == 200);
  cr_expect(status.get() == 503);
  cr_expect(Await([&] { return leaving.connections() == 2; }), "no connection was opened");
  cr_expect(leaving.requests() == 1, "%d requests", leaving.requests());
}

// Guards against an unrequested change of the protocol (101) that is passed on as the answer, or
// whose headers count: it names no request, so it may belong to an earlier one. The final answer
// counts.
Test(leaving_races, a_leaving_answer_with_status_101) {
  const std::string interim = "HTTP/1.1 101 Switching Protocols\r\nLeaving: 1\r\n\r\n";
  FakeUpstream upstream([&](const std::string&, int number) {
    const auto id = std::to_string(number);
    return RawAnswer{interim + (number == 1 ? Whole(id) : LeavingAnswer(id)), false};
  });
  const RelayHost host({upstream.address()});
  cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  cr_expect(StatusOf(host.Exchange(Request("2"), kWait)) == 200);
  cr_expect(CountServed(host) == 0);
  cr_expect(upstream.requests() == 2, "%d requests", upstream.requests());
}

// Guards against a 101 without a final answer that is passed on, and against a request that is
// held, as its upstream speaks no HTTP any more, although another upstream could serve it.
Test(leaving_races, a_101_without_a_final_answer) {
  const auto switching = [](const std::string&, int) {
    return RawAnswer{"HTTP/1.1 101 Switching Protocols\r\nLeaving: 1\r\n\r\n", false};
  };
  FakeUpstream first(switching);
  FakeUpstream second(HoldFirst(0));
  const RelayHost host({first.address(), second.address()});
  for (int i = 0; i < kLaterRequests; ++i) {
    cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  }
  cr_expect(first.requests() > 0);
}
