#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "relay/relay.h"
#include "relay_fixture.h"

namespace {

using std::chrono::milliseconds;
using wagtailpick::relay_test::FakeUpstream;
using wagtailpick::relay_test::RawAnswer;
using wagtailpick::relay_test::RelayHost;
using wagtailpick::relay_test::Request;
using wagtailpick::relay_test::StatusOf;
using wagtailpick::relay_test::Whole;
namespace limits = wagtailpick::limits;

constexpr wagtailpick::base::Duration kWait = std::chrono::seconds(3);
/// Entries resume within two seconds after the end of a limit.
constexpr milliseconds kResumeTime{2'100};

/// Serves all requests and names a limit of `requests_per_second`.
RawAnswer ServeWithLimit(const std::string& requests_per_second) {
  return {"HTTP/1.1 200 OK\r\nId: 1\r\nLimit: " + requests_per_second +
              "\r\nContent-Length: 3\r\n\r\nEND",
          false};
}

/// Returns the script of upstream `self`, which names a limit of 1 if it gets the first request.
/// Stores its number in `limited` then, which is -1 before.
FakeUpstream::Script LimitedIfFirst(int self, std::atomic<int>& limited) {
  return [self, &limited](const std::string&, int) {
    int none = -1;
    limited.compare_exchange_strong(none, self);
    return limited == self ? ServeWithLimit("1") : RawAnswer{Whole("1"), false};
  };
}

}  // namespace

// Guards against an upstream that gets more requests than the limit that it names allows while
// another one can serve them.
Test(relay, keeps_the_request_rate_that_an_upstream_names) {
  constexpr int kRequests = 40;
  // 1.5 times 1 request per second for 4 s, and 5 more. The test takes less than 4 s.
  constexpr int kAllowed = 11;
  std::atomic<int> limited = -1;
  FakeUpstream first(LimitedIfFirst(0, limited));
  FakeUpstream second(LimitedIfFirst(1, limited));
  const RelayHost host({first.address(), second.address()});
  for (int i = 0; i < kRequests; ++i) {
    cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  }
  const int sent = limited == 0 ? first.requests() : second.requests();
  cr_expect(sent <= kAllowed, "%d requests", sent);
  cr_expect(first.requests() + second.requests() == kRequests);
}

// Guards against a limited upstream that gets nothing although it accepts requests, and against a
// request without a token.
Test(relay, sends_to_a_limited_upstream_with_a_token) {
  FakeUpstream limited([](const std::string&, int) { return ServeWithLimit("2.5"); });
  RelayHost host({limited.address()});
  host.AnswerTokenRequests([](const limits::TokenRequest& request) {
    cr_expect(request.limit.requests_per_second == 2.5);
    return limits::TokenAnswer{0, true, {}};
  });
  for (int i = 0; i < 4; ++i) cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  cr_expect(limited.requests() == 4);
  // The first request made the limit known.
  cr_expect(host.token_requests() == 3);
}

// Guards against a caller that waits for its deadline, or is not told when to return, while the
// limits of all upstreams hold its request back.
Test(relay, refuses_at_once_when_limits_hold_the_request_back) {
  FakeUpstream limited([](const std::string&, int) { return ServeWithLimit("1"); });
  RelayHost host({limited.address()});
  host.AnswerTokenRequests([](const limits::TokenRequest&) {
    return limits::TokenAnswer{0, false, milliseconds(300)};
  });
  host.Exchange(Request("1"), kWait);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 3; ++i) {
    const auto answer = host.Exchange(Request("1"), kWait);
    cr_expect(StatusOf(answer) == 503);
    const auto at = answer.find("Retry-After: ");
    cr_assert(at != std::string::npos);
    const double seconds = std::stod(answer.substr(at + 13));
    // The callers of this test wait for 1.5 s. Retry-After is at most a third of that.
    cr_expect(seconds >= 0.1 && seconds <= 0.5, "%f s", seconds);
  }
  cr_expect(std::chrono::steady_clock::now() - start < milliseconds(200));
  cr_expect(limited.requests() == 1);
  // The next tokens are only asked for when one may be issued.
  cr_expect(host.token_requests() == 1);
}

// Guards against callers that wait again and again for a replica that does not answer.
Test(relay, goes_elsewhere_while_no_token_request_is_answered) {
  std::atomic<int> limited = -1;
  FakeUpstream first(LimitedIfFirst(0, limited));
  FakeUpstream second(LimitedIfFirst(1, limited));
  RelayHost host({first.address(), second.address()});
  host.AnswerTokenRequests([](const limits::TokenRequest&) { return std::nullopt; });
  host.Exchange(Request("1"), kWait);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 5; ++i) cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  cr_expect(std::chrono::steady_clock::now() - start < milliseconds(450));
  cr_expect((limited == 0 ? first : second).requests() == 1);
}

// Guards against a limit that outlives the answers that name it, and against an end that an answer
// without a readable limit would bring.
Test(relay, ends_a_limit_with_the_first_answer_that_names_none) {
  FakeUpstream upstream([](const std::string&, int number) {
    return number <= 3 ? ServeWithLimit("5") : RawAnswer{Whole("1"), false};
  });
  RelayHost host({upstream.address()});
  host.AnswerTokenRequests([](const limits::TokenRequest&) {
    return limits::TokenAnswer{0, true, {}};
  });
  for (int i = 0; i < 4; ++i) cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  cr_expect(host.token_requests() == 3);
  std::this_thread::sleep_for(kResumeTime);
  const int asked = host.token_requests();
  for (int i = 0; i < 3; ++i) cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  cr_expect(host.token_requests() == asked);
}

// Guards against a limit that ends because its upstream turned a request away without naming it:
// the upstream is in need, and got all requests again.
Test(relay, keeps_a_limit_past_a_refusal_that_names_none) {
  FakeUpstream limited([](const std::string&, int number) {
    const RawAnswer refusal{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false};
    return number == 2 ? refusal : ServeWithLimit("1");
  });
  RelayHost host({limited.address()});
  host.AnswerTokenRequests([](const limits::TokenRequest&) {
    return limits::TokenAnswer{0, true, {}};
  });
  cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 503);
  std::this_thread::sleep_for(kResumeTime);
  cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  // The first request made the limit known. Each other one had a token.
  cr_expect(limited.requests() == 3);
  cr_expect(host.token_requests() == 2, "%d tokens", host.token_requests());
}

// Guards against a request that reaches an upstream for a caller that has left while its entry
// waited for a token.
Test(relay, sends_nothing_for_a_caller_that_left_before_the_token_came) {
  FakeUpstream limited([](const std::string&, int) { return ServeWithLimit("1"); });
  RelayHost host({limited.address()});
  host.AnswerTokenRequests(
      [](const limits::TokenRequest&) {
        return limits::TokenAnswer{0, true, {}};
      },
      milliseconds(150));
  host.Exchange(Request("1"), kWait);
  host.SendAndLeave(Request("1"), milliseconds(20));
  std::this_thread::sleep_for(milliseconds(400));
  cr_expect(host.token_requests() == 1);
  cr_expect(limited.requests() == 1);
}
