#include "session_simulation.h"

#include <string>
#include <utility>

namespace wagtailpick::control {
namespace {

using base::Duration;
using base::MonotonicTime;
using std::chrono::milliseconds;

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kUpstreams = 3;
constexpr LeaseTimes kHolderTimes;

UpstreamKey KeyOf(std::size_t upstream) { return {"s", "10.0.0.1:" + std::to_string(upstream)}; }

std::size_t NumberOf(const UpstreamKey& key) {
  return static_cast<std::size_t>(key.address.back() - '0');
}

}  // namespace

SessionSimulation::SessionSimulation(std::uint64_t seed, SessionSimulationOptions options)
    : simulator_(seed), options_(options) {
  const auto holders = 2 + simulator_.Pick(3);
  for (std::uint64_t holder = 0; holder < holders; ++holder) {
    holders_.push_back({"entry-" + std::to_string(holder),
                        simulator_.PickClock(options_.drift_percent),
                        1,
                        0,
                        {},
                        false,
                        {}});
  }
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    replicas_.push_back(
        {simulator_.PickClock(options_.drift_percent), SessionTable(options_.leader_times)});
  }
}

SessionSimulationTally SessionSimulation::Run(Duration length) {
  ChangeLeader();
  simulator_.Every(milliseconds(1'900), [this] {
    if (simulator_.Pick(4) == 0) ChangeLeader();
  });
  simulator_.Every(milliseconds(20), [this] { CloseExpired(); });
  simulator_.Every(milliseconds(5), [this] { CheckOwners(); });
  for (auto& holder : holders_) {
    simulator_.Every(simulator_.PickMillis(230, 270), [this, &holder] { Act(holder); });
  }
  simulator_.RunUntil(length);
  return tally_;
}

MonotonicTime SessionSimulation::LeaderTime() const {
  return replicas_[*leader_].clock.Read(simulator_.now());
}

bool SessionSimulation::LeaseHolds(const Holder& holder) const {
  return holder.session != 0 && holder.clock.Read(simulator_.now()) < holder.lease_ends;
}

void SessionSimulation::ChangeLeader() {
  leader_.reset();
  // Proposals of the old term may be lost or committed, but not committed after the first entry of
  // the new leader.
  simulator_.After(simulator_.PickMillis(100, 1'400), [this] {
    ++tally_.events;
    ++term_;
    leader_ = simulator_.Pick(kReplicas);
    MonotonicTime since = LeaderTime();
    if (!options_.renew_at_election) since -= options_.leader_times.LeaderLease();
    replicas_[*leader_].table.Reset(state_.OpenSessions(), since);
  });
}

void SessionSimulation::Propose(Command command, Holder* holder) {
  if (!leader_) return;
  simulator_.After(simulator_.PickMillis(1, 70),
                   [this, term = term_, command = std::move(command), holder] {
                     const bool lost = term != term_ && simulator_.Pick(2) == 0;
                     if (leader_ && !lost) Commit(command, holder);
                   });
}

void SessionSimulation::Commit(const Command& command, Holder* holder) {
  ++tally_.events;
  if (const auto* close = std::get_if<CloseSession>(&command)) CheckClosed(close->session);
  const Outcome outcome = state_.Apply(state_.applied_index() + 1, command).value();
  if (const auto* opened = std::get_if<SessionOutcome>(&outcome)) OnOpened(*opened, holder);
  if (const auto* close = std::get_if<CloseSession>(&command)) {
    replicas_[*leader_].table.Remove(close->session);
    for (const auto& orphan : std::get<CloseOutcome>(outcome).orphans) {
      may_have_requests_[NumberOf(orphan)] = true;
    }
  }
  if (const auto* grant = std::get_if<GrantOwnership>(&command)) {
    OnGranted(*grant, std::get<OwnershipOutcome>(outcome), holder);
  }
  if (const auto* release = std::get_if<ReleaseOwnership>(&command)) {
    if (std::get<ReleaseOutcome>(outcome).released) {
      may_have_requests_[NumberOf(release->upstream)] = !release->idle;
    }
  }
}

void SessionSimulation::OnOpened(const SessionOutcome& outcome, Holder* holder) {
  auto& table = replicas_[*leader_].table;
  for (const SessionId older : outcome.ended) table.Remove(older);
  if (outcome.session == 0) return;
  table.Add(outcome.session, LeaderTime());
  const std::uint64_t incarnation = state_.sessions().at(outcome.session).incarnation;
  simulator_.After(simulator_.PickLatency(), [this, holder, outcome, incarnation] {
    if (holder->incarnation != incarnation || outcome.session <= holder->session) return;
    holder->session = outcome.session;
    holder->owned.clear();
    holder->lease_ends = holder->clock.Read(simulator_.now());
  });
}

void SessionSimulation::OnGranted(const GrantOwnership& command, const OwnershipOutcome& outcome,
                                  Holder* holder) {
  if (outcome.verdict != OwnershipVerdict::kGranted) return;
  ++tally_.grants;
  const std::size_t upstream = NumberOf(command.upstream);
  if (may_have_requests_[upstream] && !outcome.ownership.quarantine) ++tally_.missing_quarantine;
  simulator_.After(simulator_.PickLatency(), [=] {
    if (holder->session != command.session) return;
    holder->owned[upstream] = outcome.ownership.epoch;
  });
}

void SessionSimulation::CheckClosed(SessionId session) {
  for (const auto& holder : holders_) {
    if (holder.session != session) continue;
    ++tally_.closed_sessions;
    if (LeaseHolds(holder)) ++tally_.lease_cut_short;
  }
}

void SessionSimulation::CloseExpired() {
  if (!leader_) return;
  for (const SessionId session : replicas_[*leader_].table.CollectExpired(LeaderTime())) {
    Propose(CloseSession{session}, nullptr);
  }
}

void SessionSimulation::Act(Holder& holder) {
  if (simulator_.Pick(30) == 0) holder.paused = true;
  if (simulator_.Pick(8) == 0) holder.paused = false;
  if (holder.paused) return;
  if (simulator_.Pick(60) == 0) Restart(holder);
  if (holder.session == 0) return Open(holder);
  Renew(holder);
  if (!LeaseHolds(holder)) return;
  if (simulator_.Pick(3) == 0) RequestOwnership(holder);
  if (simulator_.Pick(12) == 0) ReleaseOne(holder);
}

void SessionSimulation::Open(Holder& holder) {
  Session session;
  session.vm = holder.vm;
  session.incarnation = holder.incarnation;
  session.http_address = {holder.vm, 80};
  session.rpc_address = {holder.vm, 81};
  Propose(OpenSession{session}, &holder);
}

void SessionSimulation::Restart(Holder& holder) {
  ++holder.incarnation;
  holder.session = 0;
  holder.owned.clear();
}

void SessionSimulation::Renew(Holder& holder) {
  const MonotonicTime sent = holder.clock.Read(simulator_.now());
  if (simulator_.Pick(10) == 0) return;
  simulator_.After(simulator_.PickLatency(), [this, &holder, sent, session = holder.session] {
    if (!leader_) return;
    ++tally_.events;
    const RenewVerdict verdict = replicas_[*leader_].table.Renew(session, LeaderTime());
    if (simulator_.Pick(10) == 0) return;
    simulator_.After(simulator_.PickLatency(), [&holder, sent, session, verdict] {
      if (holder.session != session) return;
      if (verdict == RenewVerdict::kRenewed) {
        holder.lease_ends = std::max(holder.lease_ends, sent + kHolderTimes.HolderLease());
      } else if (verdict == RenewVerdict::kUnknown) {
        holder.session = 0;
        holder.owned.clear();
      }
    });
  });
}

void SessionSimulation::RequestOwnership(Holder& holder) {
  const std::size_t upstream = simulator_.Pick(kUpstreams);
  Propose(GrantOwnership{KeyOf(upstream), 1, holder.session}, &holder);
}

void SessionSimulation::ReleaseOne(Holder& holder) {
  if (holder.owned.empty()) return;
  const auto [upstream, epoch] = *holder.owned.begin();
  holder.owned.erase(holder.owned.begin());
  const bool idle = simulator_.Pick(2) == 0;
  Propose(ReleaseOwnership{KeyOf(upstream), holder.session, epoch, idle}, &holder);
}

void SessionSimulation::CheckOwners() {
  for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
    int users = 0;
    for (const auto& holder : holders_) {
      if (holder.owned.contains(upstream) && LeaseHolds(holder)) ++users;
    }
    if (users > 1) ++tally_.owned_twice;
  }
}

}  // namespace wagtailpick::control
