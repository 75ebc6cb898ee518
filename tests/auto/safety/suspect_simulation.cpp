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
constexpr int kDeadlyCallers = 3;
constexpr int kCommonCallers = 3;
constexpr int kMaxSends = 14;
constexpr std::int64_t kLengthMs = 60'000;
constexpr std::int64_t kLeaseMs = 2000;

class World {
 public:
  explicit World(const SuspectSimulationOptions& options) : options_(options), dice_(options.seed) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back({{"upstream-" + std::to_string(i), 1}, i % kEntries, 0, true, {}});
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<SuspectEntry>(
          SuspectEntry::Surroundings{
              queue_, dice_, options_, counts_, trials_, upstreams_, entries_,
              [this](Upstream& u, const Request& r, const SuspectEntry::Reply& reply) {
                Run(u, r, reply);
              }},
          i));
    }
  }

  SuspectCounts Run() {
    const std::int64_t end = queue_.now() + kLengthMs;
    for (std::size_t i = 0; i < kUpstreams; ++i) Announce(i);
    for (int i = 0; i < kCommonCallers; ++i) SendCommon();
    for (int i = 0; i < kDeadlyCallers; ++i) {
      queue_.After(dice_.Between(1000, 20'000), [this, i] { SendDeadly(i, 0); });
    }
    ScheduleFault();
    ScheduleExchange();
    queue_.RunUntil(end);
    counts_.events = queue_.events();
    return counts_;
  }

 private:
  void SendDeadly(int caller, int sends) {
    if (sends >= kMaxSends) return;
    Request request;
    request.fingerprint = FingerprintOf("listings", "GET", "/deadly", std::to_string(caller));
    request.is_deadly = true;
    const std::size_t entry = dice_.Below(kEntries);
    if (!entries_[entry]->up()) {
      queue_.After(200, [=, this] { SendDeadly(caller, sends); });
      return;
    }
    // The caller resends after an answer, through any entry, and waits for ever for one: copies
    // sent at the same time are beyond the stated bound.
    const auto done = std::make_shared<bool>(false);
    const auto again = [=, this](std::int64_t delay) {
      if (std::exchange(*done, true)) return;
      queue_.After(delay, [=, this] { SendDeadly(caller, sends + 1); });
    };
    entries_[entry]->OnRequest(request, [=, this](Told told) {
      if (told == Told::kBlocked) ++counts_.blocked_answers;
      untried_crash_[request.fingerprint] = false;
      again(dice_.Between(1, 1500));
    });
    // An entry that died without an answer takes what it alone knew of a first strike with it; then
    // a resend is beyond the stated bound. The claim of a trial outlives it while others know of
    // the strike.
    queue_.After(6000, [=, this] {
      const bool is_suspect = std::any_of(entries_.begin(), entries_.end(), [&](const auto& e) {
        return e->IsSuspect(request.fingerprint);
      });
      if (is_suspect && !untried_crash_[request.fingerprint]) again(0);
    });
  }

  void SendCommon() {
    Request request;
    request.fingerprint = FingerprintOf("listings", "GET", "/common", "");
    entries_[dice_.Below(kEntries)]->OnRequest(request, [this](Told told) {
      if (told == Told::kAnswer) ++counts_.common_answers;
      // Copies of it can be lost with several upstreams at nearly the same time.
      if (told == Told::kBlocked && counts_.crashes <= 1) ++counts_.common_blocked;
    });
    queue_.After(dice_.Between(50, 400), [this] { SendCommon(); });
  }

  void Run(Upstream& upstream, const Request& request, const SuspectEntry::Reply& reply) {
    upstream.running.push_back({request, reply});
    const UpstreamRun run = upstream.run;
    queue_.After(dice_.Between(1, 60), [this, &upstream, run, request, reply] {
      if (!upstream.up || upstream.run != run) return;
      if (request.is_deadly) {
        untried_crash_[request.fingerprint] = request.trial_key.empty();
        Crash(upstream, request.fingerprint);
        return;
      }
      const auto mine = std::find_if(
          upstream.running.begin(), upstream.running.end(),
          [&](const auto& item) { return item.request.fingerprint == request.fingerprint; });
      if (mine != upstream.running.end()) upstream.running.erase(mine);
      reply(Told::kAnswer);
    });
  }

  void Crash(Upstream& upstream, const Fingerprint& by) {
    ++counts_.crashes;
    if (++crashes_[by] > 2) ++counts_.excess_crashes;
    upstream.up = false;
    const auto lost = std::exchange(upstream.running, {});
    const std::size_t owner = upstream.owner;
    // The owner may die just then, and with it what only it has seen.
    if (dice_.Chance(15)) Kill(owner);
    queue_.After(dice_.Between(0, 3),
                 [this, owner, run = upstream.run, lost, heard = upstream.announcement] {
                   entries_[owner]->OnConnectionsLost(run, heard, lost);
                 });
    queue_.After(dice_.Between(300, 2000), [&upstream] {
      upstream.up = true;
      ++upstream.run.incarnation;
      upstream.announcement = 0;
    });
  }

  void Announce(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    if (upstream.up) {
      ++upstream.announcement;
      queue_.After(dice_.Between(1, 300),
                   [this, index, run = upstream.run, number = upstream.announcement] {
                     entries_[upstreams_[index].owner]->OnAnnouncement(run, number);
                   });
    }
    queue_.After(500, [this, index] { Announce(index); });
  }

  // When all entries are down at once, what they knew is lost; that is a stated limit.
  void Kill(std::size_t entry) {
    const auto up = std::count_if(entries_.begin(), entries_.end(),
                                  [](const auto& other) { return other->up(); });
    if (up > 2) entries_[entry]->Kill(dice_.Between(500, 4000));
  }

  void ScheduleFault() {
    queue_.After(dice_.Between(300, 4000), [this] {
      const std::size_t entry = dice_.Below(kEntries);
      if (dice_.Chance(40)) {
        Kill(entry);
      } else {
        entries_[entry]->Pause(dice_.Between(50, 3000));
      }
      ScheduleFault();
    });
  }

  // Regular exchange among entries, and new owners for the upstreams of entries that are down.
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
  RandomSource dice_;
  EventQueue queue_;
  SuspectCounts counts_;
  TrialRegister trials_;
  std::vector<Upstream> upstreams_;
  std::vector<std::unique_ptr<SuspectEntry>> entries_;
  std::map<Fingerprint, std::uint64_t> crashes_;
  std::map<Fingerprint, bool> untried_crash_;
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
  return World(options).Run();
}

}  // namespace wagtailpick::safety
