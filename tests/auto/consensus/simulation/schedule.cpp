#include "simulation/schedule.h"

#include <array>
#include <random>
#include <string>

#include "simulation/cluster.h"

namespace wagtailpick::consensus::simulation {
namespace {

constexpr std::uint64_t kSecond = 1'000'000;
constexpr int kEpisodes = 25;
constexpr int kMaxRecoverySeconds = 60;

class Schedule {
 public:
  Schedule(std::uint64_t seed, Faults faults)
      : random_(seed ^ 0x5eed), cluster_(seed, Voters(seed), Voters(seed) + 2, faults) {
    Conditions& conditions = cluster_.conditions();
    conditions.drop_percent = static_cast<std::uint32_t>(random_() % 8);
    conditions.duplicate_percent = static_cast<std::uint32_t>(random_() % 20);
    conditions.late_percent = static_cast<std::uint32_t>(random_() % 10);
    // With a slow disk a crash loses more written records. The slowest sync takes longer than the
    // election timeout.
    constexpr std::array<std::uint64_t, 4> kSlowSyncs{20'000, 20'000, 400'000, 1'500'000};
    conditions.max_slow_sync = kSlowSyncs.at(random_() % kSlowSyncs.size());
  }

  ScheduleResult Run() {
    for (int i = 0; i < kEpisodes; ++i) {
      if (random_() % 4 > 0) AwaitLeader();
      ProposeEverywhere();
      cluster_.RunFor(random_() % (kSecond / 16));
      InjectFault();
      ProposeEverywhere();
      // A third of the faults may last long enough for an election.
      cluster_.RunFor(random_() % (random_() % 3 == 0 ? 4 * kSecond : kSecond / 4));
      while (random_() % 4 > 0) Repair();
    }
    RecoverAndCheck();
    result_.checker = cluster_.checker();
    result_.events = cluster_.events();
    result_.committed = cluster_.checker().committed();
    return result_;
  }

 private:
  static std::size_t Voters(std::uint64_t seed) { return seed % 3 == 0 ? 5 : 3; }

  std::size_t RandomNode() { return random_() % cluster_.size(); }

  // Returns a leader in two of three cases, else a random node: most faults matter on leaders.
  std::size_t LikelyLeader() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (cluster_.up(i) && cluster_.replica(i).role() == Role::kLeader && random_() % 3 > 0) {
        return i;
      }
    }
    return RandomNode();
  }

  // Most faults matter only while a leader accepts proposals.
  void AwaitLeader() {
    for (int i = 0; i < 40 && !cluster_.Leader(); ++i) cluster_.RunFor(kSecond / 10);
  }

  void InjectFault() {
    const std::uint64_t choice = random_() % 100;
    if (choice < 25) return cluster_.Crash(LikelyLeader());
    if (choice < 35) return FailPower();
    if (choice < 40) return cluster_.FailSync(LikelyLeader());
    if (choice < 55) return cluster_.Pause(LikelyLeader());
    if (choice < 65) return cluster_.Isolate(LikelyLeader());
    if (choice < 72) return cluster_.Cut(LikelyLeader(), RandomNode());
    if (choice < 79) return ForceElection();
    if (choice < 89) return LoseDisk();
    ChangeMembership();
  }

  // Makes a node that does not receive the leader's messages start an election among those that do,
  // and then isolates the leader, so that it does not learn the new term.
  void ForceElection() {
    const std::size_t leader = LikelyLeader();
    cluster_.Cut(leader, RandomNode());
    cluster_.RunFor(kSecond + random_() % (kSecond / 2));
    cluster_.Isolate(leader);
    cluster_.RunFor(kSecond / 2);
  }

  void Repair() {
    const std::uint64_t choice = random_() % 5;
    if (choice == 0) return cluster_.Heal();
    if (choice == 1) return cluster_.Resume(RandomNode());
    cluster_.Restart(RandomNode());
  }

  // Crashes all nodes, so that they lose unsynced records; restarts some of them immediately.
  void FailPower() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.Crash(i);
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (random_() % 3 > 0) cluster_.Restart(i);
    }
  }

  // Proposes on all nodes, as two leaders of different terms may both accept proposals.
  void ProposeEverywhere() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const std::uint64_t burst = random_() % 12;
      for (std::uint64_t n = 0; n < burst; ++n) {
        if (!cluster_.Propose(i, "proposal " + std::to_string(++proposals_))) break;
      }
    }
  }

  // Loses one disk at a time, as losing a majority of disks may lose committed entries by design.
  void LoseDisk() {
    const std::size_t node = LikelyLeader();
    const bool can_lose_one = cluster_.checker().membership().voter_count() >= 3;
    if (!can_lose_one || !cluster_.AllMembersAreVoters() || cluster_.IsChanging()) return;
    ++result_.disks_lost;
    cluster_.LoseDisk(node);
    cluster_.Restart(node);
  }

  void ChangeMembership() {
    const std::size_t leader = LikelyLeader();
    const std::size_t node = RandomNode();
    const Membership& membership = cluster_.checker().membership();
    MembershipChange change{MembershipChange::Kind::kAdd, cluster_.key(node)};
    if (membership.FindName(change.replica.name) != nullptr) {
      if (membership.voter_count() < 4 || !cluster_.AllMembersAreVoters()) return;
      change.kind = MembershipChange::Kind::kRemove;
    } else if (random_() % 2 == 0) {
      change.replica.incarnation = 0;
    }
    if (cluster_.ProposeChange(leader, change)) ++result_.changes;
  }

  bool HasRecovered(std::uint64_t committed) {
    const auto leader = cluster_.Leader();
    if (!leader || cluster_.checker().committed() <= committed || !cluster_.AllMembersAreVoters()) {
      return false;
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (cluster_.checker().membership().Find(cluster_.key(i)) == nullptr) continue;
      if (!cluster_.up(i) || cluster_.applied(i) < cluster_.checker().committed()) return false;
    }
    return true;
  }

  // Recovers all nodes and checks that the members end with all entries that any replica applied.
  void RecoverAndCheck() {
    cluster_.conditions() = Conditions{};
    cluster_.Recover();
    const std::uint64_t committed = cluster_.checker().committed();
    for (int second = 0; second < kMaxRecoverySeconds; ++second) {
      cluster_.RunFor(kSecond);
      if (HasRecovered(committed)) return;
      const auto leader = cluster_.Leader();
      if (leader) cluster_.Propose(*leader, "final " + std::to_string(second));
    }
    cluster_.checker().Report(Violation::kStuck);
  }

  std::mt19937_64 random_;
  Cluster cluster_;
  ScheduleResult result_;
  std::uint64_t proposals_ = 0;
};

}  // namespace

ScheduleResult RunSchedule(std::uint64_t seed, Faults faults) {
  return Schedule(seed, faults).Run();
}

}  // namespace wagtailpick::consensus::simulation
