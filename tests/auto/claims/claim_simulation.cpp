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

class World {
 public:
  explicit World(const ClaimSimulationOptions& options) : options_(options), dice_(options.seed) {
    const auto replica = [this](ReplicaIndex i) -> FakeReplica& { return *replicas_[i]; };
    const auto count = static_cast<ReplicaIndex>(options_.replicas);
    for (ReplicaIndex i = 0; i < count; ++i) {
      replicas_.push_back(std::make_unique<FakeReplica>(
          FakeReplica::Surroundings{queue_, dice_, network_, copy_network_, options_,
                                    ledger_.counts(), replica, [this] { OnRepaired(); },
                                    [this](ReplicaIndex index) { OnAccepted(index); }},
          i));
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<FakeEntry>(
          FakeEntry::Surroundings{queue_, dice_, network_, options_, ledger_, replica}));
    }
  }

  Counts Run() {
    const std::int64_t end = queue_.now() + kLengthMs;
    for (int caller = 0; caller < kCallers; ++caller) StartCaller(caller);
    ScheduleFault();
    queue_.RunUntil(end);
    ledger_.counts().events = queue_.events();
    return ledger_.counts();
  }

 private:
  void StartCaller(int caller) {
    for (int i = 0; i < kRequestsPerCaller; ++i) {
      // Two callers share each key, as a caller does that sends from two threads.
      const int key = (caller / 2) * kRequestsPerCaller + i;
      const int body = dice_.Chance(20) ? 1 : 0;
      queue_.After(i * kRequestIntervalMs + dice_.Between(0, 300),
                   [=, this] { Send(key, body, 0); });
    }
  }

  // Sends the request, and again through another entry after an answer or without waiting for one.
  void Send(int key, int body, int sends) {
    if (sends >= kMaxSends) return;
    // The same request through two entries at once.
    if (sends == 0 && dice_.Chance(50)) Send(key, body, 1);
    FakeEntry& entry = *entries_[dice_.Below(entries_.size())];
    const auto done = std::make_shared<bool>(false);
    const auto again = [=, this](std::int64_t delay) {
      if (*done) return;
      *done = true;
      queue_.After(delay, [=, this] { Send(key, body, sends + 1); });
    };
    const auto reply = [=, this](FakeEntry::Told told) {
      if (told != FakeEntry::Told::kAnswer || dice_.Chance(30)) again(dice_.Between(1, 900));
    };
    network_.Send([&entry, key, body, reply] { entry.OnRequest(key, body, reply); });
    queue_.After(dice_.Chance(30) ? dice_.Between(1, 60) : dice_.Between(300, 3000),
                 [again] { again(0); });
  }

  void ScheduleFault() {
    queue_.After(dice_.Between(20, fault_interval_ms_), [this] {
      Fault();
      ScheduleFault();
    });
  }

  void Fault() {
    switch (dice_.Below(4)) {
      case 0:
        replicas_[dice_.Below(replicas_.size())]->Crash(dice_.Between(5, 800));
        return;
      case 1:
        entries_[dice_.Below(entries_.size())]->Kill(dice_.Between(5, 800));
        return;
      case 2:
        entries_[dice_.Below(entries_.size())]->Pause(dice_.Between(5, 3000));
        return;
      default:
        LoseDisk(dice_.Below(replicas_.size()));
    }
  }

  // At most a minority of the disks may be incomplete at any time.
  void LoseDisk(std::size_t index) {
    const auto incomplete = std::count_if(replicas_.begin(), replicas_.end(),
                                          [](const auto& r) { return !r->has_whole_disk(); });
    const bool is_whole = replicas_[index]->has_whole_disk();
    const auto after = static_cast<std::size_t>(incomplete) + (is_whole ? 1 : 0);
    if (after >= MajorityOf(options_.replicas)) return;
    replicas_[index]->LoseDisk(dice_.Chance(50) ? dice_.Between(1, 20) : dice_.Between(20, 900));
  }

  // The next disk often goes right after a repair.
  void OnRepaired() {
    if (!dice_.Chance(50)) return;
    queue_.After(dice_.Between(0, 30), [this] { LoseDisk(dice_.Below(replicas_.size())); });
  }

  void OnAccepted(ReplicaIndex index) {
    if (dice_.Chance(4)) {
      queue_.After(dice_.Between(0, 8),
                   [=, this] { replicas_[index]->Crash(dice_.Between(1, 50)); });
    } else if (dice_.Chance(8)) {
      queue_.After(dice_.Between(0, 60), [=, this] { LoseDisk(index); });
    }
  }

  ClaimSimulationOptions options_;
  RandomSource dice_;
  std::int64_t fault_interval_ms_ = dice_.Chance(50) ? 1500 : 300;
  EventQueue queue_;
  LossyNetwork network_{queue_, dice_, dice_.Chance(50) ? 8 : 40};
  LossyNetwork copy_network_{queue_, dice_, 5};
  RunChecker ledger_;
  std::vector<std::unique_ptr<FakeReplica>> replicas_;
  std::vector<std::unique_ptr<FakeEntry>> entries_;
};

}  // namespace

Counts RunClaimSimulation(const ClaimSimulationOptions& options) { return World(options).Run(); }

}  // namespace wagtailpick::claims
