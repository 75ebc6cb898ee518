#include "suspect_simulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "suspect_entry.h"

namespace wagtailpick::safety {
namespace {

constexpr std::size_t kEntries = 4;
constexpr std::size_t kUpstreams = 10;
constexpr int kCrashingCallers = 3;
constexpr int kCommonCallers = 3;
constexpr int kMaxSendsPerCaller = 14;
constexpr std::int64_t kDurationMs = 60'000;
constexpr std::int64_t kLeaseMs = 2000;

class Simulation {
 public:
  explicit Simulation(const SuspectSimulationOptions& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back({{"upstream-" + std::to_string(i), 1}, i % kEntries, 0, true, {}});
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<SuspectEntry>(
          SuspectEntry::Environment{queue_, random_, options_, counts_, trials_, upstreams_,
                                    entries_,
                                    [this](Upstream& u, const Request& r,
                                           const SuspectEntry::Reply& reply) { Run(u, r, reply); }},
          i));
    }
  }

  SuspectCounts Run() {
    const std::int64_t end = queue_.now() + kDurationMs;
    for (std::size_t i = 0; i < kUpstreams; ++i) Announce(i);
    for (int i = 0; i < kCommonCallers; ++i) SendCommon();
    for (int i = 0; i < kCrashingCallers; ++i) {
      queue_.After(random_.Between(1000, 20'000), [this, i] { SendCrashing(i, 0); });
    }
    ScheduleFault();
    ScheduleExchange();
    queue_.RunUntil(end);
    counts_.events = queue_.events();
    return counts_;
  }

 private:
  void SendCrashing(int caller, int sends) {
    if (sends >= kMaxSendsPerCaller) return;
    Request request;
    request.fingerprint = FingerprintOf("listings", "GET", "/deadly", std::to_string(caller));
    request.crashes_upstream = true;
    const std::size_t entry = random_.Below(kEntries);
    if (!entries_[entry]->up()) {
      queue_.After(200, [=, this] { SendCrashing(caller, sends); });
      return;
    }
    // The caller resends through any entry, but only after an answer: for copies that are sent at
    // the same time, the limit of two crashes is not guaranteed.
    const auto done = std::make_shared<bool>(false);
    const auto resend = [=, this](std::int64_t delay) {
      if (std::exchange(*done, true)) return;
      queue_.After(delay, [=, this] { SendCrashing(caller, sends + 1); });
    };
    entries_[entry]->OnRequest(request, [=, this](Outcome outcome) {
      if (outcome == Outcome::kBlocked) ++counts_.blocked_answers;
      crashed_outside_trial_[request.fingerprint] = false;
      resend(random_.Between(1, 1500));
    });
    // If an entry ends without an answer, a first strike that only it knew is lost, and after a
    // resend the limit is not guaranteed. So the caller resends only if another entry knows of the
    // strike: the claim of a trial then outlives the entry.
    queue_.After(6000, [=, this] {
      const bool is_suspect = std::any_of(entries_.begin(), entries_.end(), [&](const auto& e) {
        return e->IsSuspect(request.fingerprint);
      });
      if (is_suspect && !crashed_outside_trial_[request.fingerprint]) resend(0);
    });
  }

  void SendCommon() {
    Request request;
    request.fingerprint = FingerprintOf("listings", "GET", "/common", "");
    entries_[random_.Below(kEntries)]->OnRequest(request, [this](Outcome outcome) {
      if (outcome == Outcome::kAnswer) ++counts_.common_answers;
      // After several crashes, copies may have been lost with several upstreams, so that a block is
      // legitimate.
      if (outcome == Outcome::kBlocked && counts_.crashes <= 1) ++counts_.common_blocked;
    });
    queue_.After(random_.Between(50, 400), [this] { SendCommon(); });
  }

  void Run(Upstream& upstream, const Request& request, const SuspectEntry::Reply& reply) {
    upstream.running.push_back({request, reply});
    const UpstreamRun run = upstream.run;
    queue_.After(random_.Between(1, 60), [this, &upstream, run, request, reply] {
      if (!upstream.up || upstream.run != run) return;
      if (request.crashes_upstream) {
        crashed_outside_trial_[request.fingerprint] = request.trial_key.empty();
        Crash(upstream, request.fingerprint);
        return;
      }
      const auto running = std::find_if(
          upstream.running.begin(), upstream.running.end(),
          [&](const auto& item) { return item.request.fingerprint == request.fingerprint; });
      if (running != upstream.running.end()) upstream.running.erase(running);
      reply(Outcome::kAnswer);
    });
  }

  void Crash(Upstream& upstream, const Fingerprint& cause) {
    ++counts_.crashes;
    if (++crashes_[cause] > 2) ++counts_.excess_crashes;
    upstream.up = false;
    const auto lost = std::exchange(upstream.running, {});
    const std::size_t owner = upstream.owner;
    // The owner may end at the same time, and with it the knowledge of the crash.
    if (random_.Chance(15)) Kill(owner);
    queue_.After(random_.Between(0, 3), [this, owner, run = upstream.run, lost,
                                         last_announcement = upstream.announcement] {
      entries_[owner]->OnConnectionsLost(run, last_announcement, lost);
    });
    queue_.After(random_.Between(300, 2000), [&upstream] {
      upstream.up = true;
      ++upstream.run.incarnation;
      upstream.announcement = 0;
    });
  }

  void Announce(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    if (upstream.up) {
      ++upstream.announcement;
      queue_.After(random_.Between(1, 300),
                   [this, index, run = upstream.run, number = upstream.announcement] {
                     entries_[upstreams_[index].owner]->OnAnnouncement(run, number);
                   });
    }
    queue_.After(500, [this, index] { Announce(index); });
  }

  // Two entries stay up: the records are lost when all entries are down at once, which is a
  // documented limitation.
  void Kill(std::size_t entry) {
    const auto up = std::count_if(entries_.begin(), entries_.end(),
                                  [](const auto& other) { return other->up(); });
    if (up > 2) entries_[entry]->Kill(random_.Between(500, 4000));
  }

  void ScheduleFault() {
    queue_.After(random_.Between(300, 4000), [this] {
      const std::size_t entry = random_.Below(kEntries);
      if (random_.Chance(40)) {
        Kill(entry);
      } else {
        entries_[entry]->Pause(random_.Between(50, 3000));
      }
      ScheduleFault();
    });
  }

  // Schedules the regular exchange of reports, and assigns new owners to the upstreams of entries
  // that are down.
  void ScheduleExchange() {
    queue_.After(1000, [this] {
      for (const auto& entry : entries_) entry->ExchangeChanges();
      for (std::size_t i = 0; i < kUpstreams; ++i) {
        if (entries_[upstreams_[i].owner]->up()) continue;
        queue_.After(kLeaseMs, [this, i] {
          upstreams_[i].owner = (upstreams_[i].owner + 1) % kEntries;
          upstreams_[i].running.clear();
        });
      }
      ScheduleExchange();
    });
  }

  SuspectSimulationOptions options_;
  RandomSource random_;
  EventQueue queue_;
  SuspectCounts counts_;
  TrialRegister trials_;
  std::vector<Upstream> upstreams_;
  std::vector<std::unique_ptr<SuspectEntry>> entries_;
  std::map<Fingerprint, std::uint64_t> crashes_;
  std::map<Fingerprint, bool> crashed_outside_trial_;
};

}  // namespace

void SuspectCounts::Add(const SuspectCounts& other) {
  excess_crashes += other.excess_crashes;
  common_blocked += other.common_blocked;
  crashes += other.crashes;
  trials += other.trials;
  blocked_answers += other.blocked_answers;
  common_answers += other.common_answers;
  events += other.events;
}

SuspectCounts RunSuspectSimulation(const SuspectSimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace wagtailpick::safety
