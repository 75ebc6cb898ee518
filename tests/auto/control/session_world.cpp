#include "session_world.h"

#include <string>
#include <utility>

namespace wagtailpick::control {
namespace {

using base::Duration;
using base::MonotonicTime;
using std::chrono::milliseconds;

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kUpstreams = 3;
constexpr LeaseTerms kHolderTerms;

UpstreamKey KeyOf(std::size_t upstream) { return {"s", "10.0.0.1:" + std::to_string(upstream)}; }

std::size_t NumberOf(const UpstreamKey& key) {
  return static_cast<std::size_t>(key.address.back() - '0');
}

}  // namespace

SessionWorld::SessionWorld(std::uint64_t seed, SessionWorldOptions options)
    : simulation_(seed), options_(options) {
  const auto holders = 2 + simulation_.Pick(3);
  for (std::uint64_t holder = 0; holder < holders; ++holder) {
    holders_.push_back({"entry-" + std::to_string(holder),
                        simulation_.PickClock(options_.drift_percent),
                        1,
                        0,
                        {},
                        false,
                        {}});
  }
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    replicas_.push_back(
        {simulation_.PickClock(options_.drift_percent), SessionTable(options_.leader_terms)});
  }
}

SessionWorldTally SessionWorld::Run(Duration length) {
  ChangeLeader();
  simulation_.Every(milliseconds(1'900), [this] {
    if (simulation_.Pick(4) == 0) ChangeLeader();
  });
  simulation_.Every(milliseconds(20), [this] { CloseExpired(); });
  simulation_.Every(milliseconds(5), [this] { CheckOwners(); });
  for (auto& holder : holders_) {
    simulation_.Every(simulation_.PickMillis(230, 270), [this, &holder] { Act(holder); });
  }
  simulation_.RunUntil(length);
  return tally_;
}

MonotonicTime SessionWorld::LeaderTime() const {
  return replicas_[*leader_].clock.Read(simulation_.now());
}

bool SessionWorld::LeaseHolds(const Holder& holder) const {
  return holder.session != 0 && holder.clock.Read(simulation_.now()) < holder.lease_ends;
}

void SessionWorld::ChangeLeader() {
  leader_.reset();
  // Proposals of the old term may be lost or committed, but not after the new leader's first entry.
  simulation_.After(simulation_.PickMillis(100, 1'400), [this] {
    ++tally_.events;
    ++term_;
    leader_ = simulation_.Pick(kReplicas);
    MonotonicTime since = LeaderTime();
    if (!options_.renew_at_election) since -= options_.leader_terms.LeaderLease();
    replicas_[*leader_].table.Reset(state_.OpenSessions(), since);
  });
}

void SessionWorld::Propose(Command command, Holder* holder) {
  if (!leader_) return;
  simulation_.After(simulation_.PickMillis(1, 70),
                    [this, term = term_, command = std::move(command), holder] {
                      const bool lost = term != term_ && simulation_.Pick(2) == 0;
                      if (leader_ && !lost) Commit(command, holder);
                    });
}

void SessionWorld::Commit(const Command& command, Holder* holder) {
  ++tally_.events;
  if (const auto* close = std::get_if<CloseSession>(&command)) CheckClosed(close->session);
  const Outcome outcome = state_.Apply(state_.applied_index() + 1, command).value();
  if (const auto* opened = std::get_if<SessionOutcome>(&outcome)) OnOpened(*opened, holder);
  if (const auto* close = std::get_if<CloseSession>(&command)) {
    replicas_[*leader_].table.Remove(close->session);
    for (const auto& orphan : std::get<CloseOutcome>(outcome).orphans) {
      may_be_busy_[NumberOf(orphan)] = true;
    }
  }
  if (const auto* grant = std::get_if<GrantOwnership>(&command)) {
    OnGranted(*grant, std::get<OwnershipOutcome>(outcome), holder);
  }
  if (const auto* release = std::get_if<ReleaseOwnership>(&command)) {
    if (std::get<ReleaseOutcome>(outcome).released) {
      may_be_busy_[NumberOf(release->upstream)] = !release->idle;
    }
  }
}

void SessionWorld::OnOpened(const SessionOutcome& outcome, Holder* holder) {
  auto& table = replicas_[*leader_].table;
  for (const SessionId older : outcome.ended) table.Remove(older);
  if (outcome.session == 0) return;
  table.Add(outcome.session, LeaderTime());
  const std::uint64_t incarnation = state_.sessions().at(outcome.session).incarnation;
  simulation_.After(simulation_.PickLatency(), [this, holder, outcome, incarnation] {
    if (holder->incarnation != incarnation || outcome.session <= holder->session) return;
    holder->session = outcome.session;
    holder->owned.clear();
    holder->lease_ends = holder->clock.Read(simulation_.now());
  });
}

void SessionWorld::OnGranted(const GrantOwnership& command, const OwnershipOutcome& outcome,
                             Holder* holder) {
  if (outcome.verdict != OwnershipVerdict::kGranted) return;
  ++tally_.grants;
  const std::size_t upstream = NumberOf(command.upstream);
  if (may_be_busy_[upstream] && !outcome.ownership.quarantine) ++tally_.missing_quarantine;
  simulation_.After(simulation_.PickLatency(), [=] {
    if (holder->session != command.session) return;
    holder->owned[upstream] = outcome.ownership.epoch;
  });
}

void SessionWorld::CheckClosed(SessionId session) {
  for (const auto& holder : holders_) {
    if (holder.session != session) continue;
    ++tally_.closed_sessions;
    if (LeaseHolds(holder)) ++tally_.lease_cut_short;
  }
}

void SessionWorld::CloseExpired() {
  if (!leader_) return;
  for (const SessionId session : replicas_[*leader_].table.TakeExpired(LeaderTime())) {
    Propose(CloseSession{session}, nullptr);
  }
}

void SessionWorld::Act(Holder& holder) {
  if (simulation_.Pick(30) == 0) holder.paused = true;
  if (simulation_.Pick(8) == 0) holder.paused = false;
  if (holder.paused) return;
  if (simulation_.Pick(60) == 0) Restart(holder);
  if (holder.session == 0) return Open(holder);
  Renew(holder);
  if (!LeaseHolds(holder)) return;
  if (simulation_.Pick(3) == 0) TryOwn(holder);
  if (simulation_.Pick(12) == 0) GiveUp(holder);
}

void SessionWorld::Open(Holder& holder) {
  Session session;
  session.vm = holder.vm;
  session.incarnation = holder.incarnation;
  session.http_address = {holder.vm, 80};
  session.rpc_address = {holder.vm, 81};
  Propose(OpenSession{session}, &holder);
}

void SessionWorld::Restart(Holder& holder) {
  ++holder.incarnation;
  holder.session = 0;
  holder.owned.clear();
}

void SessionWorld::Renew(Holder& holder) {
  const MonotonicTime sent = holder.clock.Read(simulation_.now());
  if (simulation_.Pick(10) == 0) return;
  simulation_.After(simulation_.PickLatency(), [this, &holder, sent, session = holder.session] {
    if (!leader_) return;
    ++tally_.events;
    const RenewVerdict verdict = replicas_[*leader_].table.Renew(session, LeaderTime());
    if (simulation_.Pick(10) == 0) return;
    simulation_.After(simulation_.PickLatency(), [&holder, sent, session, verdict] {
      if (holder.session != session) return;
      if (verdict == RenewVerdict::kRenewed) {
        holder.lease_ends = std::max(holder.lease_ends, sent + kHolderTerms.HolderLease());
      } else if (verdict == RenewVerdict::kUnknown) {
        holder.session = 0;
        holder.owned.clear();
      }
    });
  });
}

void SessionWorld::TryOwn(Holder& holder) {
  const std::size_t upstream = simulation_.Pick(kUpstreams);
  Propose(GrantOwnership{KeyOf(upstream), 1, holder.session}, &holder);
}

void SessionWorld::GiveUp(Holder& holder) {
  if (holder.owned.empty()) return;
  const auto [upstream, epoch] = *holder.owned.begin();
  holder.owned.erase(holder.owned.begin());
  const bool idle = simulation_.Pick(2) == 0;
  Propose(ReleaseOwnership{KeyOf(upstream), holder.session, epoch, idle}, &holder);
}

void SessionWorld::CheckOwners() {
  for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
    int users = 0;
    for (const auto& holder : holders_) {
      if (holder.owned.contains(upstream) && LeaseHolds(holder)) ++users;
    }
    if (users > 1) ++tally_.owned_twice;
  }
}

}  // namespace wagtailpick::control
