#include "claim_simulation.h"

#include <algorithm>
#include <memory>
#include <vector>

#include "event_queue.h"
#include "fake_entry.h"
#include "fake_replica.h"

namespace wagtailpick::claims {
namespace {

constexpr std::size_t kEntries = 4;
constexpr int kCallers = 4;
constexpr int kRequestsPerCaller = 5;
constexpr std::int64_t kRequestIntervalMs = 4000;
constexpr int kMaxSends = 8;
constexpr std::int64_t kLengthMs = 30'000;

class Simulation {
 public:
  explicit Simulation(const ClaimSimulationOptions& options)
      : options_(options), random_(options.seed) {
    const auto replica = [this](ReplicaIndex i) -> FakeReplica& { return *replicas_[i]; };
    const auto count = static_cast<ReplicaIndex>(options_.replicas);
    for (ReplicaIndex i = 0; i < count; ++i) {
      replicas_.push_back(std::make_unique<FakeReplica>(
          FakeReplica::Environment{queue_, random_, network_, copy_network_, options_,
                                   checker_.counts(), replica, [this] { OnDiskRepaired(); },
                                   [this](ReplicaIndex index) { OnClaimAccepted(index); }},
          i));
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<FakeEntry>(
          FakeEntry::Environment{queue_, random_, network_, options_, checker_, replica}));
    }
  }

  Counts Run() {
    const std::int64_t end = queue_.now() + kLengthMs;
    for (int caller = 0; caller < kCallers; ++caller) StartCaller(caller);
    ScheduleFault();
    queue_.RunUntil(end);
    checker_.counts().events = queue_.events();
    return checker_.counts();
  }

 private:
  void StartCaller(int caller) {
    for (int i = 0; i < kRequestsPerCaller; ++i) {
      // Two callers use each key, like one caller that sends from two threads.
      const int key = (caller / 2) * kRequestsPerCaller + i;
      const int body = random_.Chance(20) ? 1 : 0;
      queue_.After(i * kRequestIntervalMs + random_.Between(0, 300),
                   [=, this] { Send(key, body, 0); });
    }
  }

  // Sends the request and repeats it, through a random entry, after a reply or without waiting for
  // one.
  void Send(int key, int body, int sends) {
    if (sends >= kMaxSends) return;
    // Sends the same request through two entries at a time.
    if (sends == 0 && random_.Chance(50)) Send(key, body, 1);
    FakeEntry& entry = *entries_[random_.Below(entries_.size())];
    const auto done = std::make_shared<bool>(false);
    const auto again = [=, this](std::int64_t delay) {
      if (*done) return;
      *done = true;
      queue_.After(delay, [=, this] { Send(key, body, sends + 1); });
    };
    const auto reply = [=, this](FakeEntry::Outcome outcome) {
      if (outcome != FakeEntry::Outcome::kAnswer || random_.Chance(30)) {
        again(random_.Between(1, 900));
      }
    };
    network_.Send([&entry, key, body, reply] { entry.OnRequest(key, body, reply); });
    queue_.After(random_.Chance(30) ? random_.Between(1, 60) : random_.Between(300, 3000),
                 [again] { again(0); });
  }

  void ScheduleFault() {
    queue_.After(random_.Between(20, fault_interval_ms_), [this] {
      InjectFault();
      ScheduleFault();
    });
  }

  void InjectFault() {
    switch (random_.Below(4)) {
      case 0:
        replicas_[random_.Below(replicas_.size())]->Crash(random_.Between(5, 800));
        return;
      case 1:
        entries_[random_.Below(entries_.size())]->Kill(random_.Between(5, 800));
        return;
      case 2:
        entries_[random_.Below(entries_.size())]->Pause(random_.Between(5, 3000));
        return;
      default:
        LoseDisk(random_.Below(replicas_.size()));
    }
  }

  // Loses a disk, unless more than a minority of the disks would then be incomplete.
  void LoseDisk(std::size_t index) {
    const auto incomplete = std::count_if(replicas_.begin(), replicas_.end(),
                                          [](const auto& r) { return !r->has_complete_disk(); });
    const bool is_complete = replicas_[index]->has_complete_disk();
    const auto after = static_cast<std::size_t>(incomplete) + (is_complete ? 1 : 0);
    if (after >= MajorityOf(options_.replicas)) return;
    replicas_[index]->LoseDisk(random_.Chance(50) ? random_.Between(1, 20)
                                                  : random_.Between(20, 900));
  }

  // Often loses another disk soon after a repair.
  void OnDiskRepaired() {
    if (!random_.Chance(50)) return;
    queue_.After(random_.Between(0, 30), [this] { LoseDisk(random_.Below(replicas_.size())); });
  }

  // Sometimes crashes a replica or loses its disk soon after it has accepted a claim.
  void OnClaimAccepted(ReplicaIndex index) {
    if (random_.Chance(4)) {
      queue_.After(random_.Between(0, 8),
                   [=, this] { replicas_[index]->Crash(random_.Between(1, 50)); });
    } else if (random_.Chance(8)) {
      queue_.After(random_.Between(0, 60), [=, this] { LoseDisk(index); });
    }
  }

  ClaimSimulationOptions options_;
  RandomSource random_;
  std::int64_t fault_interval_ms_ = random_.Chance(50) ? 1500 : 300;
  EventQueue queue_;
  LossyNetwork network_{queue_, random_, random_.Chance(50) ? 8 : 40};
  LossyNetwork copy_network_{queue_, random_, 5};
  RunChecker checker_;
  std::vector<std::unique_ptr<FakeReplica>> replicas_;
  std::vector<std::unique_ptr<FakeEntry>> entries_;
};

}  // namespace

Counts RunClaimSimulation(const ClaimSimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace wagtailpick::claims
