#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <vector>

#include "relay_fixture.h"

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::relay_test::FakeUpstream;
using wagtailpick::relay_test::RawAnswer;
using wagtailpick::relay_test::RelayHost;
using wagtailpick::relay_test::Request;
using wagtailpick::relay_test::StatusOf;
using wagtailpick::relay_test::Whole;

constexpr Duration kWait = std::chrono::seconds(3);
constexpr Duration kGrace = milliseconds(6'000);

RawAnswer Serve(const std::string& /*head*/, int /*number*/) { return {Whole("1"), false}; }

RawAnswer Refuse(const std::string& /*head*/, int /*number*/) {
  return {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false};
}

}  // namespace

// Guards against a request that is passed on after the signal to stop and then cut without an
// answer, and against refusing one that ends in time. Requests of the test route end after 1.2 s.
Test(relay_drain, takes_only_what_ends_before_the_stop) {
  struct Case {
    Duration since;
    int status;
  };
  const std::vector<Case> cases{
      {milliseconds(0), 200},     {milliseconds(2'000), 200}, {milliseconds(3'300), 200},
      {milliseconds(4'300), 200}, {milliseconds(4'800), 503}, {milliseconds(5'900), 503},
  };
  for (const auto& test_case : cases) {
    FakeUpstream upstream(Serve);
    RelayHost host({upstream.address()}, false);
    host.StartDraining(test_case.since, kGrace);
    const auto answer = host.Exchange(Request("1"), kWait);
    cr_expect(StatusOf(answer) == test_case.status, "%lld us after the signal",
              static_cast<long long>(test_case.since.count()));
    cr_expect(upstream.requests() == (test_case.status == 200 ? 1 : 0));
    const bool has_retry_after = answer.find("Retry-After: 0.10") != std::string::npos;
    cr_expect(has_retry_after == (test_case.status == 503));
  }
}

// Guards against a retry that begins so late that it is cut, for a request that was taken early.
Test(relay_drain, starts_no_retry_that_is_cut) {
  for (const bool drains : {false, true}) {
    std::atomic<RelayHost*> relay = nullptr;
    const auto refuse = [&relay, drains](const std::string& head, int number) {
      // The signal comes while the request runs. The retry's deadline comes after the stop, and
      // more than 2.5 s have passed, so that its expected time doesn't count any more.
      if (drains) relay.load()->StartDraining(milliseconds(2'700), milliseconds(3'600));
      return Refuse(head, number);
    };
    FakeUpstream first(refuse);
    FakeUpstream second(refuse);
    RelayHost host({first.address(), second.address()});
    relay = &host;
    cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 503);
    const int sent = first.requests() + second.requests();
    cr_expect(sent == (drains ? 1 : 2), "%d requests", sent);
  }
}

// Guards against a request that waits for a token although it will be refused: the token is lost to
// other entries, and the caller loses time.
Test(relay_drain, requests_no_token_for_what_it_refuses) {
  FakeUpstream upstream([](const std::string& /*head*/, int /*number*/) -> RawAnswer {
    return {"HTTP/1.1 200 OK\r\nId: 1\r\nLimit: 1\r\nContent-Length: 3\r\n\r\nEND", false};
  });
  RelayHost host({upstream.address()});
  host.AnswerTokenRequests([](const auto&) { return std::nullopt; });
  cr_assert(StatusOf(host.Exchange(Request("1"), kWait)) == 200);
  host.StartDraining(kGrace, kGrace);
  const auto answer = host.Exchange(Request("1"), kWait);
  cr_expect(StatusOf(answer) == 503);
  cr_expect(answer.find("Retry-After: 0.10") != std::string::npos);
  cr_expect(host.token_requests() == 0);
}

// Guards against a payment that is passed on while the entry drains, takes longer than expected and
// is cut: 1.4 s before the stop, requests of 1.2 s that were expected to take 0.3 s were started.
Test(relay_drain, starts_a_payment_only_if_its_deadline_comes_before_the_stop) {
  for (const bool idempotent : {true, false}) {
    FakeUpstream upstream(Serve);
    RelayHost host({upstream.address()}, idempotent);
    host.StartDraining(milliseconds(2'300), milliseconds(3'700));
    const int expected_status = idempotent ? 200 : 503;
    cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == expected_status);
    cr_expect(upstream.requests() == (idempotent ? 1 : 0));
  }
}
