#include "share_world.h"

#include <algorithm>

namespace wagtailpick::control {
namespace {

using base::Duration;
using base::MonotonicTime;
using std::chrono::milliseconds;

constexpr double kDriftPercent = 1.0;
constexpr std::size_t kReplicas = 3;
// A lowered cap holds one lease plus one window after the leader applied it (design, 3.3).
constexpr Duration kCapDelay = milliseconds(3'020);
constexpr Duration kWindow = milliseconds(1'000);
constexpr LeaseTerms kHolderTerms;

}  // namespace

ShareWorld::ShareWorld(std::uint64_t seed, ShareWorldOptions options)
    : simulation_(seed), options_(options) {
  const auto holders = 2 + simulation_.Pick(5);
  for (SessionId session = 1; session <= holders; ++session) {
    holders_.push_back({session, simulation_.PickClock(kDriftPercent), 0, false, 0, {}, {}});
  }
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    replicas_.push_back({simulation_.PickClock(kDriftPercent), ShareLedger(options_.leader_terms)});
  }
}

ShareWorldTally ShareWorld::Run(Duration length) {
  SetCap(1 + simulation_.Pick(12));
  ChangeLeader();
  simulation_.Every(milliseconds(1'700), [this] {
    if (simulation_.Pick(4) == 0) SetCap(simulation_.Pick(13));
    if (simulation_.Pick(5) == 0) ChangeLeader();
  });
  for (auto& holder : holders_) {
    simulation_.Every(simulation_.PickMillis(230, 270), [this, &holder] {
      if (simulation_.Pick(8) == 0) holder.demand = simulation_.Pick(10);
      if (simulation_.Pick(holder.cut_off ? 12 : 40) == 0) holder.cut_off = !holder.cut_off;
      if (!holder.cut_off) SendRenewal(holder);
    });
    simulation_.Every(simulation_.PickMillis(9, 13), [this, &holder] { Admit(holder); });
  }
  simulation_.RunUntil(length);
  return tally_;
}

void ShareWorld::SetCap(std::uint64_t units) {
  caps_.push_back({simulation_.now(), units});
  const ShareLimits limits{{{{ShareKind::kShiftCap, "s", "a", "b"}, units}}, {}};
  for (auto& replica : replicas_) {
    replica.ledger.SetLimits(limits, replica.clock.Read(simulation_.now()));
  }
}

void ShareWorld::ChangeLeader() {
  leader_.reset();
  simulation_.After(simulation_.PickMillis(0, 1'400), [this] {
    ++tally_.events;
    leader_ = simulation_.Pick(kReplicas);
    Replica& replica = replicas_[*leader_];
    MonotonicTime since = replica.clock.Read(simulation_.now());
    if (!options_.wait_at_election) since -= std::chrono::seconds(4);
    replica.ledger.Reset(since);
  });
}

void ShareWorld::SendRenewal(Holder& holder) {
  const MonotonicTime sent = holder.clock.Read(simulation_.now());
  if (simulation_.Pick(10) == 0) return;
  simulation_.After(simulation_.PickLatency(),
                    [this, &holder, sent] { HandleRenewal(holder, sent); });
}

void ShareWorld::HandleRenewal(Holder& holder, MonotonicTime sent) {
  if (!leader_) return;
  ++tally_.events;
  Replica& replica = replicas_[*leader_];
  const std::vector<ServiceShare> demands{{ShareKind::kShiftCap, "s", "a", "b", holder.demand}};
  const auto shares =
      replica.ledger.Renew(holder.session, demands, replica.clock.Read(simulation_.now()));
  if (simulation_.Pick(8) == 0) return;
  simulation_.After(simulation_.PickLatency(), [this, &holder, sent, units = shares[0].units] {
    TakeShare(holder, units, sent);
  });
}

void ShareWorld::TakeShare(Holder& holder, std::uint64_t units, MonotonicTime sent) {
  if (sent < holder.share_sent) return;
  holder.share_sent = sent;
  holder.share = units;
}

void ShareWorld::Admit(Holder& holder) {
  const MonotonicTime local = holder.clock.Read(simulation_.now());
  if (local >= holder.share_sent + kHolderTerms.HolderLease()) return;
  const Duration window = options_.stretch_holder_window ? kHolderTerms.HolderWindow() : kWindow;
  while (!holder.ring.empty() && holder.ring.front() + window <= local) holder.ring.pop_front();
  // Bursts with pauses between them are the hardest case for the window.
  if (simulation_.Pick(3) == 0) return;
  while (holder.ring.size() < holder.share) {
    holder.ring.push_back(local);
    admitted_.push_back(simulation_.now());
    ++tally_.admitted;
  }
  CheckWindow();
}

void ShareWorld::CheckWindow() {
  ++tally_.events;
  while (!admitted_.empty() && admitted_.front() + kWindow <= simulation_.now()) {
    admitted_.pop_front();
  }
  if (admitted_.size() > AllowedNow()) ++tally_.cap_exceeded;
}

// The highest cap that was in force within the last `kCapDelay`.
std::uint64_t ShareWorld::AllowedNow() const {
  std::uint64_t allowed = 0;
  for (auto cap = caps_.rbegin(); cap != caps_.rend(); ++cap) {
    allowed = std::max(allowed, cap->units);
    if (cap->since + kCapDelay <= simulation_.now()) break;
  }
  return allowed;
}

}  // namespace wagtailpick::control
