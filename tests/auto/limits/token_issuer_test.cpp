#include "limits/token_issuer.h"

#include <criterion/criterion.h>

#include "limits/issuer_choice.h"

namespace {

using namespace wagtailpick;          // NOLINT(google-build-using-namespace)
using namespace wagtailpick::limits;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(1'000)};
constexpr std::int64_t kRun = 5;
constexpr base::Duration kWindow = seconds(4);

RateLimit Limit(double requests_per_second) { return {kRun, requests_per_second, false, kStart}; }

/// Returns the tokens that `issuer` grants when it is asked each millisecond for `length`.
int AskContinuously(TokenIssuer& issuer, const RateLimit& limit, bool urgent, base::Duration length,
                    base::MonotonicTime from = kStart) {
  int granted = 0;
  for (auto now = from; now < from + length; now += milliseconds(1)) {
    granted += issuer.Issue("u", limit, urgent, now).granted ? 1 : 0;
  }
  return granted;
}

}  // namespace

// Guards against more tokens than the upstream allows, fewer than it would take, and an upstream
// with a limit of 0 that is never asked again whether its limit has ended.
Test(token_issuer, issues_tokens_at_the_named_rate) {
  for (const double rate : {0.0, 0.3, 1.0, 2.4, 20.0, 400.0}) {
    TokenIssuer issuer;
    const auto limit = Limit(rate);
    issuer.Issue("u", limit, false, kStart);
    const auto later = kStart + seconds(60);
    const int burst = AskContinuously(issuer, limit, false, kWindow, later);
    cr_expect(burst <= static_cast<int>(6 * rate) + 5, "%d at %f", burst, rate);
    const int sustained = AskContinuously(issuer, limit, false, seconds(40), later + kWindow);
    const double expected = std::max(rate, 0.25) * 40;
    cr_expect(sustained >= expected - 1 && sustained <= expected + 1, "%d at %f", sustained, rate);
  }
}

// Guards against a replica that has restarted and grants a burst beside the tokens issued before.
Test(token_issuer, starts_without_tokens) {
  TokenIssuer issuer;
  const auto answer = issuer.Issue("u", Limit(2), true, kStart);
  cr_expect(!answer.granted);
  cr_expect(answer.retry_in == milliseconds(500));
}

// Guards against a full limit for each of several replicas that issue tokens at the same time.
Test(token_issuer, is_charged_for_the_tokens_of_other_replicas) {
  TokenIssuer first;
  TokenIssuer second;
  const auto limit = Limit(2.4);
  int granted = 0;
  for (auto now = kStart; now < kStart + seconds(40); now += milliseconds(1)) {
    granted += first.Issue("u", limit, false, now).granted ? 1 : 0;
    granted += second.Issue("u", limit, false, now).granted ? 1 : 0;
    // Replicas report what they have issued at each tick.
    if (now.time_since_epoch() % milliseconds(150) != base::Duration::zero()) continue;
    for (const auto& issued : first.ConsumeIssued()) second.Charge(issued, &limit, now);
    for (const auto& issued : second.ConsumeIssued()) first.Charge(issued, &limit, now);
  }
  cr_expect(granted >= 90 && granted <= 102, "%d", granted);
}

// Guards against urgent requests that find no token because others have taken them all.
Test(token_issuer, keeps_a_token_for_urgent_requests) {
  TokenIssuer issuer;
  const auto limit = Limit(1);
  AskContinuously(issuer, limit, false, seconds(10));
  const auto now = kStart + seconds(10);
  cr_expect(!issuer.Issue("u", limit, false, now).granted);
  cr_expect(issuer.Issue("u", limit, true, now).granted);
  cr_expect(!issuer.Issue("u", limit, true, now).granted);
}

// Guards against tokens of the old rate after an upstream lowers its limit.
Test(token_issuer, follows_a_changed_limit) {
  TokenIssuer issuer;
  AskContinuously(issuer, Limit(50), false, seconds(1));
  const int lower = AskContinuously(issuer, Limit(1), false, seconds(4), kStart + seconds(1));
  cr_expect(lower >= 3 && lower <= 11, "%d", lower);
  const int higher = AskContinuously(issuer, Limit(50), false, seconds(4), kStart + seconds(5));
  cr_expect(higher >= 190, "%d", higher);
}

// Guards against a new run that has to pay for the tokens of the old one, and the reverse.
Test(token_issuer, keeps_the_runs_of_an_upstream_apart) {
  TokenIssuer issuer;
  const auto limit = Limit(1);
  issuer.Charge({"u", kRun, 9}, &limit, kStart);
  const RateLimit next{kRun + 1, 1, false, kStart};
  issuer.Issue("u", next, true, kStart);
  issuer.Charge({"u", kRun, 9}, &limit, kStart);
  cr_expect(issuer.Issue("u", next, true, kStart + seconds(1)).granted);
  cr_assert(issuer.ConsumeIssued().size() == 1);
  issuer.RemoveIf([](const std::string& upstream) { return upstream == "u"; });
  cr_expect(issuer.size() == 0);
}

// Guards against entries that ask different replicas for the tokens of one upstream, and against
// one replica that issues the tokens of all.
Test(issuer_choice, spreads_upstreams_over_near_replicas) {
  const std::vector<Issuer> issuers{{"a", true}, {"b", true}, {"c", false}, {"d", true}};
  const std::vector<Issuer> reversed(issuers.rbegin(), issuers.rend());
  std::map<std::string, int> counts;
  for (int i = 0; i < 300; ++i) {
    const auto upstream = "i-" + std::to_string(i);
    const auto chosen = ChooseIssuer(upstream, issuers);
    cr_expect(chosen == ChooseIssuer(upstream, reversed));
    ++counts[chosen];
  }
  cr_expect(!counts.contains("c"));
  for (const auto& name : {"a", "b", "d"}) cr_expect(counts[name] > 60, "%s", name);
  cr_expect(ChooseIssuer("u", {{"c", false}}) == "c");
  cr_expect(ChooseIssuer("u", {}).empty());
}
