#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "limits/entry_limits.h"
#include "limits/issuer_choice.h"

// Simulates entries that send to one limited upstream, and the replicas that issue its tokens. All
// decisions are those of the limits library; messages are function calls after a random delay.

namespace {

using namespace wagtailpick;          // NOLINT(google-build-using-namespace)
using namespace wagtailpick::limits;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(1'000)};
constexpr base::Duration kLength = seconds(120);
constexpr base::Duration kWindow = seconds(4);
constexpr base::Duration kReplicaTick = milliseconds(150);
constexpr base::Duration kViewChangeInterval = seconds(5);
constexpr std::int64_t kRun = 5;

struct Scenario {
  std::size_t entries = 185;
  std::size_t replicas = 15;
  /// Requests per second that the upstream accepts, and that all entries together want to send.
  double limit = 2.4;
  double demand = 10;
  /// Fraction of the entries that reach only some replicas, others each 5 s.
  double entries_with_partial_view = 0;
  std::size_t replicas_in_partial_view = 3;
  /// Time between restarts of a random replica; zero for none.
  base::Duration restart_interval{};
};

/// What the upstream received.
struct Received {
  std::size_t requests = 0;
  std::size_t most_in_window = 0;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, unsigned seed)
      : scenario_(scenario), random_(seed), replicas_(scenario.replicas) {
    entries_.reserve(scenario.entries);
    for (std::size_t i = 0; i < scenario.entries; ++i) {
      entries_.emplace_back("e" + std::to_string(i));
      entries_.back().SetEntryCount(scenario.entries);
      entries_.back().table().Apply({"u", kRun, scenario.limit, false, {}}, kStart);
    }
    views_.assign(scenario.entries, AllIssuers());
  }

  Received Run() {
    At(kStart, [this] { ScheduleRequest(); });
    At(kStart, [this] { TickReplicas(); });
    At(kStart, [this] { ChangeViews(); });
    if (scenario_.restart_interval > base::Duration::zero()) At(kStart, [this] { Restart(); });
    while (!events_.empty() && events_.top().at < kStart + kLength) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    std::sort(arrivals_.begin(), arrivals_.end());
    Received received{arrivals_.size(), 0};
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      const auto end = std::lower_bound(first, arrivals_.end(), *first + kWindow);
      received.most_in_window =
          std::max(received.most_in_window, static_cast<std::size_t>(end - first));
    }
    return received;
  }

 private:
  struct Event {
    base::MonotonicTime at;
    std::size_t number;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void At(base::MonotonicTime at, std::function<void()> action) {
    events_.push({at, next_event_++, std::move(action)});
  }

  base::Duration MessageDelay() { return milliseconds(1 + random_() % 40); }

  std::vector<Issuer> AllIssuers() const {
    std::vector<Issuer> all;
    for (std::size_t i = 0; i < scenario_.replicas; ++i) {
      all.push_back({std::to_string(i), i % 3 == 0});
    }
    return all;
  }

  void ScheduleRequest() {
    std::exponential_distribution<double> gap(scenario_.demand);
    SendOne(random_() % entries_.size());
    At(now_ + base::FromSeconds(gap(random_)), [this] { ScheduleRequest(); });
  }

  void SendOne(std::size_t index) {
    auto& entry = entries_[index];
    if (entry.held_back_until("u", false) > now_) return;
    const auto* limit = entry.FindBinding("u", kRun, now_);
    const auto issuer = ChooseIssuer("u", views_[index]);
    if (issuer.empty()) return HandleAnswer(index, entry.TakeShare("u", *limit, now_));
    At(now_ + MessageDelay(), [this, index, issuer] {
      const RateLimit named{kRun, scenario_.limit, false, kStart};
      const auto answer = replicas_[std::stoul(issuer)].Issue("u", named, false, now_);
      At(now_ + MessageDelay(), [this, index, answer] { HandleAnswer(index, answer); });
    });
  }

  void HandleAnswer(std::size_t index, const TokenAnswer& answer) {
    if (!answer.granted) return entries_[index].HoldBack("u", false, now_ + answer.retry_in);
    // Some connections take a repeated packet to open.
    const auto delay =
        MessageDelay() + (random_() % 20 == 0 ? milliseconds(1'000) : milliseconds(0));
    arrivals_.push_back(now_ + delay);
  }

  void TickReplicas() {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      for (const auto& issued : replicas_[i].ConsumeIssued()) ReportIssued(i, issued);
    }
    At(now_ + kReplicaTick, [this] { TickReplicas(); });
  }

  void ReportIssued(std::size_t from, const IssuedTokens& issued) {
    for (std::size_t to = 0; to < replicas_.size(); ++to) {
      if (to == from) continue;
      At(now_ + MessageDelay(), [this, to, issued] {
        const RateLimit named{kRun, scenario_.limit, false, kStart};
        replicas_[to].Charge(issued, &named, now_);
      });
    }
  }

  void ChangeViews() {
    const auto partial = static_cast<std::size_t>(scenario_.entries_with_partial_view *
                                                  static_cast<double>(entries_.size()));
    for (std::size_t i = 0; i < partial; ++i) {
      auto view = AllIssuers();
      std::shuffle(view.begin(), view.end(), random_);
      view.resize(scenario_.replicas_in_partial_view);
      views_[i] = view;
    }
    At(now_ + kViewChangeInterval, [this] { ChangeViews(); });
  }

  void Restart() {
    replicas_[random_() % replicas_.size()] = TokenIssuer();
    At(now_ + scenario_.restart_interval, [this] { Restart(); });
  }

  Scenario scenario_;
  std::mt19937 random_;
  base::MonotonicTime now_ = kStart;
  std::priority_queue<Event> events_;
  std::size_t next_event_ = 0;
  std::vector<EntryLimits> entries_;
  std::vector<TokenIssuer> replicas_;
  /// By entry: the replicas that it reaches.
  std::vector<std::vector<Issuer>> views_;
  std::vector<base::MonotonicTime> arrivals_;
};

/// Runs the scenario with several seeds. Checks that an upstream gets at most one and a half times
/// its limit and 5 requests in 4 s, and at least `min_used` of the requests that it would accept.
void CheckScenario(const Scenario& scenario, double min_used) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const auto received = Simulation(scenario, seed).Run();
    const double length = base::ToSeconds(kLength);
    const double accepted = std::min(scenario.limit, scenario.demand) * length;
    const double used = static_cast<double>(received.requests) / accepted;
    cr_expect(static_cast<double>(received.most_in_window) <= 6 * scenario.limit + 5,
              "%zu in 4 s, seed %u", received.most_in_window, seed);
    cr_expect(used >= min_used, "%f used, seed %u", used, seed);
    cr_log_info("limit %.1f, demand %.1f: %zu in 4 s, %.2f used", scenario.limit, scenario.demand,
                received.most_in_window, used);
  }
}

}  // namespace

// Guards against entries that exceed a limit together, or that leave most of it unused, at a demand
// of several times the limit.
Test(limit_simulation, entries_use_a_limit_without_exceeding_it) {
  for (const double limit : {0.5, 2.4, 8.0}) {
    Scenario scenario;
    scenario.limit = limit;
    scenario.demand = 4 * limit;
    CheckScenario(scenario, 0.9);
  }
  Scenario burst;
  burst.demand = 200;
  CheckScenario(burst, 0.9);
}

// Guards against a limit that takes requests away though they would hardly exceed it.
Test(limit_simulation, entries_keep_most_requests_near_the_limit) {
  Scenario scenario;
  scenario.demand = 0.9 * scenario.limit;
  CheckScenario(scenario, 0.7);
}

// Guards against one full limit for each replica that some entry takes for the issuer, as entries
// reach different replicas.
Test(limit_simulation, holds_while_entries_reach_different_replicas) {
  Scenario scenario;
  scenario.entries_with_partial_view = 0.3;
  CheckScenario(scenario, 0.8);
  scenario.entries_with_partial_view = 1;
  CheckScenario(scenario, 0.8);
}

// Guards against a limit that restarted replicas grant anew.
Test(limit_simulation, holds_while_replicas_restart) {
  Scenario scenario;
  scenario.restart_interval = seconds(1);
  CheckScenario(scenario, 0.7);
}

// Guards against entries that exceed a limit while some of them reach no replica.
Test(limit_simulation, holds_while_entries_reach_no_replica) {
  Scenario scenario;
  scenario.replicas_in_partial_view = 0;
  scenario.entries_with_partial_view = 0.5;
  scenario.demand = 40;
  CheckScenario(scenario, 0.9);
}
