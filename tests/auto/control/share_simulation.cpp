#include "share_simulation.h"

#include <algorithm>

namespace wagtailpick::control {
namespace {

using base::Duration;
using base::MonotonicTime;
using std::chrono::milliseconds;

constexpr double kDriftPercent = 1.0;
constexpr std::size_t kReplicas = 3;
// A lowered cap is kept from one lease plus one window after the leader applied it (design, 3.3).
constexpr Duration kCapDelay = milliseconds(3'020);
constexpr Duration kWindow = milliseconds(1'000);
constexpr LeaseTimes kHolderTimes;

}  // namespace

ShareSimulation::ShareSimulation(std::uint64_t seed, ShareSimulationOptions options)
    : simulator_(seed), options_(options) {
  const auto holders = 2 + simulator_.Pick(5);
  for (SessionId session = 1; session <= holders; ++session) {
    holders_.push_back({session, simulator_.PickClock(kDriftPercent), 0, false, 0, {}, {}});
  }
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    replicas_.push_back({simulator_.PickClock(kDriftPercent), ShareLedger(options_.leader_times)});
  }
}

ShareSimulationTally ShareSimulation::Run(Duration length) {
  SetCap(1 + simulator_.Pick(12));
  ChangeLeader();
  simulator_.Every(milliseconds(1'700), [this] {
    if (simulator_.Pick(4) == 0) SetCap(simulator_.Pick(13));
    if (simulator_.Pick(5) == 0) ChangeLeader();
  });
  for (auto& holder : holders_) {
    simulator_.Every(simulator_.PickMillis(230, 270), [this, &holder] {
      if (simulator_.Pick(8) == 0) holder.demand = simulator_.Pick(10);
      if (simulator_.Pick(holder.partitioned ? 12 : 40) == 0) {
        holder.partitioned = !holder.partitioned;
      }
      if (!holder.partitioned) SendRenewal(holder);
    });
    simulator_.Every(simulator_.PickMillis(9, 13), [this, &holder] { Admit(holder); });
  }
  simulator_.RunUntil(length);
  return tally_;
}

void ShareSimulation::SetCap(std::uint64_t units) {
  caps_.push_back({simulator_.now(), units});
  const ShareLimits limits{{{{ShareKind::kShiftCap, "s", "a", "b"}, units}}, {}};
  for (auto& replica : replicas_) {
    replica.ledger.SetLimits(limits, replica.clock.Read(simulator_.now()));
  }
}

void ShareSimulation::ChangeLeader() {
  leader_.reset();
  simulator_.After(simulator_.PickMillis(0, 1'400), [this] {
    ++tally_.events;
    leader_ = simulator_.Pick(kReplicas);
    Replica& replica = replicas_[*leader_];
    MonotonicTime since = replica.clock.Read(simulator_.now());
    if (!options_.wait_at_election) since -= std::chrono::seconds(4);
    replica.ledger.Reset(since);
  });
}

void ShareSimulation::SendRenewal(Holder& holder) {
  const MonotonicTime sent = holder.clock.Read(simulator_.now());
  if (simulator_.Pick(10) == 0) return;
  simulator_.After(simulator_.PickLatency(),
                   [this, &holder, sent] { HandleRenewal(holder, sent); });
}

void ShareSimulation::HandleRenewal(Holder& holder, MonotonicTime sent) {
  if (!leader_) return;
  ++tally_.events;
  Replica& replica = replicas_[*leader_];
  const std::vector<ServiceShare> demands{{ShareKind::kShiftCap, "s", "a", "b", holder.demand}};
  const auto shares =
      replica.ledger.Renew(holder.session, demands, replica.clock.Read(simulator_.now()));
  if (simulator_.Pick(8) == 0) return;
  simulator_.After(simulator_.PickLatency(), [this, &holder, sent, units = shares[0].units] {
    ApplyShare(holder, units, sent);
  });
}

void ShareSimulation::ApplyShare(Holder& holder, std::uint64_t units, MonotonicTime sent) {
  if (sent < holder.share_sent) return;
  holder.share_sent = sent;
  holder.share = units;
}

void ShareSimulation::Admit(Holder& holder) {
  const MonotonicTime local = holder.clock.Read(simulator_.now());
  if (local >= holder.share_sent + kHolderTimes.HolderLease()) return;
  const Duration window = options_.lengthen_holder_window ? kHolderTimes.HolderWindow() : kWindow;
  while (!holder.admission_times.empty() && holder.admission_times.front() + window <= local) {
    holder.admission_times.pop_front();
  }
  // Bursts with pauses between them are the hardest case for the window.
  if (simulator_.Pick(3) == 0) return;
  while (holder.admission_times.size() < holder.share) {
    holder.admission_times.push_back(local);
    admitted_.push_back(simulator_.now());
    ++tally_.admitted;
  }
  CheckWindow();
}

void ShareSimulation::CheckWindow() {
  ++tally_.events;
  while (!admitted_.empty() && admitted_.front() + kWindow <= simulator_.now()) {
    admitted_.pop_front();
  }
  if (admitted_.size() > AllowedNow()) ++tally_.cap_exceeded;
}

// The highest cap that was in force within the last `kCapDelay`.
std::uint64_t ShareSimulation::AllowedNow() const {
  std::uint64_t allowed = 0;
  for (auto cap = caps_.rbegin(); cap != caps_.rend(); ++cap) {
    allowed = std::max(allowed, cap->units);
    if (cap->since + kCapDelay <= simulator_.now()) break;
  }
  return allowed;
}

}  // namespace wagtailpick::control
