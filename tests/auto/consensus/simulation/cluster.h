#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/replica.h"
#include "simulation/checker.h"
#include "simulation/fake_disk.h"
#include "simulation/faults.h"

namespace wagtailpick::consensus::simulation {

/// Behaviour of the simulated links and disks. Times are in microseconds.
struct Conditions {
  std::uint32_t drop_percent = 0;
  std::uint32_t duplicate_percent = 0;
  /// Share of messages that arrive up to `late_delay` later, so that others overtake them.
  std::uint32_t late_percent = 0;
  std::uint64_t min_delay = 1'000;
  std::uint64_t max_delay = 35'000;
  std::uint64_t late_delay = 2'500'000;
  std::uint64_t max_sync = 20'000;
  /// Sync time of a node with a slow disk.
  std::uint64_t max_slow_sync = 20'000;
};

/// Replicas with simulated clocks, links and disks, run one event at a time. The node with index i
/// is named "n<i>".
class Cluster {
 public:
  /// The first `voters` nodes form the group; the others start with empty disks.
  Cluster(std::uint64_t seed, std::size_t voters, std::size_t nodes, Faults faults = {});

  Conditions& conditions() { return conditions_; }
  void RunFor(std::uint64_t micros);

  void Crash(std::size_t node);
  void Restart(std::size_t node);
  /// Crashes the node and replaces its disk.
  void LoseDisk(std::size_t node);
  /// Makes the node's next sync fail, which ends its process.
  void FailSync(std::size_t node) { nodes_[node].sync_fails = true; }
  void Pause(std::size_t node);
  void Resume(std::size_t node);
  /// Cuts the link in one direction.
  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  /// Cuts all links of the node in both directions.
  void Isolate(std::size_t node);
  void Heal() { cuts_.clear(); }
  /// Heals all links, resumes and restarts all nodes.
  void Recover();

  /// Proposes on the node if it is up; returns whether it accepted the proposal.
  bool Propose(std::size_t node, std::string data);
  bool ProposeChange(std::size_t node, const MembershipChange& change);

  std::size_t size() const { return nodes_.size(); }
  bool up(std::size_t node) const { return nodes_[node].replica.has_value(); }
  bool paused(std::size_t node) const { return nodes_[node].paused; }
  Replica& replica(std::size_t node) { return *nodes_[node].replica; }
  ReplicaKey key(std::size_t node) const;
  std::uint64_t applied(std::size_t node) const { return nodes_[node].applied.index; }
  bool HasLease(std::size_t node) const;
  /// The first node that holds the lease.
  std::optional<std::size_t> Leader() const;
  /// Whether all members of the committed membership are voters with their current disks.
  bool AllMembersAreVoters() const;
  /// Whether the last proposed membership change is undecided.
  bool IsChanging() const { return checker_.committed() < change_index_; }

  Checker& checker() { return checker_; }
  std::uint64_t events() const { return events_; }
  std::uint64_t now() const { return now_; }
  /// Number of messages that the replicas sent.
  std::uint64_t messages() const { return messages_; }

 private:
  enum class EventKind { kTick, kDeliver, kSynced };
  struct Event {
    std::uint64_t at = 0;
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::kTick;
    std::size_t node = 0;
    std::uint64_t start_number = 0;
    std::uint64_t batch = 0;
    Message message;
  };
  struct Node {
    FakeDisk disk;
    std::optional<Replica> replica;
    std::uint64_t incarnation = 1;
    /// Number of starts; events for an earlier process are dropped.
    std::uint64_t start_number = 0;
    bool paused = false;
    bool sync_fails = false;
    bool slow_disk = false;
    /// The driver requests no batch while an earlier one is being written.
    bool one_batch = false;
    std::size_t batches_in_flight = 0;
    /// Events that arrived during a pause.
    std::vector<Event> inbox;
    double clock_rate = 1.0;
    std::uint64_t clock_offset = 0;
    std::uint64_t paused_at = 0;
    /// Total time that the clock stood still; only with `Faults::clock_stops_in_pause`.
    std::uint64_t clock_lost = 0;
    AppliedState applied;
  };

  Options MakeOptions(std::size_t node);
  base::MonotonicTime LocalTime(const Node& node) const;
  void Schedule(Event event);
  void Handle(Event event);
  void ProcessOutput(std::size_t node);
  void Store(std::size_t node, SyncBatch batch);
  void Transmit(std::size_t from, const Message& message);
  void Check(std::size_t node);
  bool Chance(std::uint32_t percent) { return random_() % 100 < percent; }
  std::uint64_t Between(std::uint64_t low, std::uint64_t high) {
    return low + random_() % (high - low + 1);
  }

  std::mt19937_64 random_;
  const Faults faults_;
  Conditions conditions_;
  std::vector<Node> nodes_;
  std::vector<Event> queue_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  Checker checker_;
  std::uint64_t now_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t change_index_ = 0;
};

}  // namespace wagtailpick::consensus::simulation
