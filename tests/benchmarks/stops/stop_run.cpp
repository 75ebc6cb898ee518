#include "stops/stop_run.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <thread>

#include "platform/standin_site.h"
#include "platform/standin_wire.h"
#include "soak/http_call.h"
#include "stops/traffic.h"
#include "stops/verdict.h"

namespace wagtailpick::stops {
namespace {

std::string SiteConfig() {
  std::vector<platform::SiteRoute> routes;
  routes.reserve(kTraffic.size());
  for (const auto& traffic : kTraffic) {
    routes.push_back({traffic.name, traffic.path_prefix, traffic.service, traffic.idempotent,
                      traffic.objective, traffic.route_timeout});
  }
  return platform::SiteConfig(1, routes);
}

constexpr int kFirstNetwork = 20;
constexpr int kNetworks = 200;
constexpr base::Duration kFormationTime = std::chrono::seconds(25);
constexpr base::Duration kWarmUpTime = std::chrono::seconds(4);
/// Time from the start of an entry until it may be stopped again.
constexpr base::Duration kMinRunTime = std::chrono::seconds(3);
/// How long a stop waits for the entry to answer.
constexpr base::Duration kBusyWait = std::chrono::seconds(1);
constexpr base::Duration kOrderTimeout = std::chrono::seconds(1);
constexpr milliseconds kPollInterval{5};
/// Short, so that the signal comes while the answer is still being written.
constexpr milliseconds kBusyPollInterval{1};

class Run {
 public:
  explicit Run(const StopRunOptions& options)
      : options_(options),
        random_(options.seed),
        network_(kFirstNetwork + static_cast<int>(options.seed % kNetworks)),
        fleet_(options.program, network_, options.replicas, options.entries) {}

  int Execute() {
    fleet_.StartAll();
    WorkingServers servers(network_, fleet_.OrdersAddresses(), options_.seed);
    if (!StoreConfig()) {
      std::cout << "seed " << options_.seed << ": no config was acknowledged\n";
      return 1;
    }
    CallerOptions caller_options{fleet_.DirectoryAddresses(), options_.half_close,
                                 [&](const auto& id) { return servers.Find(id).has_value(); },
                                 [this](const auto& address) { HandleAnswerBegan(address); }};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < options_.callers; ++i) {
      callers.emplace_back([this, i, &caller_options] {
        Caller(i, options_.seed, caller_options, log_).Run(stopping_);
      });
    }
    PollFor(kWarmUpTime);
    for (std::size_t i = 0; i < options_.stops; ++i) StopOne(i % 2 == 0);
    PollFor(kGrace + std::chrono::seconds(2));
    stopping_ = true;
    for (auto& caller : callers) caller.join();
    return Report(servers);
  }

 private:
  bool StoreConfig() {
    const auto put = platform::PutConfig(SiteConfig());
    const auto end = base::MonotonicNow() + kFormationTime;
    while (base::MonotonicNow() < end) {
      for (const auto& replica : fleet_.OrdersAddresses()) {
        const auto answer = soak::Call(replica, put, kOrderTimeout);
        if (answer && answer->status == 200) return true;
      }
      PollFor(milliseconds(200));
    }
    return false;
  }

  void PollFor(base::Duration time) {
    const auto end = base::MonotonicNow() + time;
    do {
      fleet_.Poll();
      std::this_thread::sleep_for(kPollInterval);
    } while (base::MonotonicNow() < end);
  }

  void StopOne(bool busy) {
    const auto entry = next_++ % options_.entries;
    while (!fleet_.HasRunFor(entry, kMinRunTime)) PollFor(kPollInterval);
    if (busy) WaitUntilAnswers(entry);
    fleet_.StopEntry(entry, options_.pause);
    PollFor(milliseconds(options_.gap_ms / 2 +
                         static_cast<int>(random_() % static_cast<unsigned>(options_.gap_ms))));
  }

  void WaitUntilAnswers(std::size_t entry) {
    {
      const std::lock_guard lock(mutex_);
      watched_ = fleet_.CallersAddress(entry);
    }
    const auto end = base::MonotonicNow() + kBusyWait;
    bool answering = false;
    while (!answering && base::MonotonicNow() < end) {
      fleet_.Poll();
      std::this_thread::sleep_for(kBusyPollInterval);
      const std::lock_guard lock(mutex_);
      answering = watched_.empty();
    }
  }

  void HandleAnswerBegan(const std::string& address) {
    const std::lock_guard lock(mutex_);
    if (watched_ == address) watched_.clear();
  }

  int Report(const WorkingServers& servers) {
    const auto attempts = log_.attempts();
    std::map<Cut, int> cuts;
    for (const auto& cut : FindCuts(attempts, fleet_, servers)) {
      ++cuts[cut.cut];
      Print(std::cout, cut, fleet_);
    }
    const auto killed =
        std::ranges::count_if(fleet_.stops(), [](const auto& stop) { return stop.killed; });
    std::cout << "seed " << options_.seed << ": stops " << fleet_.stops().size() << " killed "
              << killed << " ended by themselves " << fleet_.unexpected_ends() << " cut: lost "
              << cuts[Cut::kLost] << " excused " << cuts[Cut::kExcused] << " unread "
              << cuts[Cut::kUnread] << " elsewhere " << cuts[Cut::kElsewhere];
    PrintAttempts(attempts);
    PrintOutcomes();
    const bool suspicious = cuts[Cut::kLost] > 0 || cuts[Cut::kElsewhere] > 0;
    if (options_.keep && suspicious) fleet_.KeepFolder();
    return cuts[Cut::kLost];
  }

  static void PrintAttempts(const std::vector<Attempt>& attempts) {
    std::map<int, int> statuses;
    int repeated = 0;
    int unconnected = 0;
    for (const auto& attempt : attempts) {
      ++statuses[attempt.status];
      repeated += attempt.repeated ? 1 : 0;
      unconnected += attempt.result.ending == Ending::kNotConnected ? 1 : 0;
    }
    std::cout << "; attempts " << attempts.size() << " repeated " << repeated << " not connected "
              << unconnected << " statuses";
    for (const auto& [status, number] : statuses) std::cout << " " << status << ": " << number;
  }

  void PrintOutcomes() const {
    for (const auto& traffic : kTraffic) {
      std::cout << "; " << traffic.name << " in aim " << log_.count(traffic, Outcome::kInAim)
                << " late " << log_.count(traffic, Outcome::kLate) << " refused "
                << log_.count(traffic, Outcome::kRefused) << " failed "
                << log_.count(traffic, Outcome::kFailed);
    }
    std::cout << std::endl;
  }

  StopRunOptions options_;
  std::mt19937_64 random_;
  int network_;
  Fleet fleet_;
  CallLog log_;
  std::atomic<bool> stopping_ = false;
  std::size_t next_ = 0;
  std::mutex mutex_;
  /// Address of the entry that is stopped as soon as it answers; empty once it has.
  std::string watched_;
};

}  // namespace

int RunStops(const StopRunOptions& options) { return Run(options).Execute(); }

}  // namespace wagtailpick::stops
