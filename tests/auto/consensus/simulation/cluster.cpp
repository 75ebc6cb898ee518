#include "simulation/cluster.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wagtailpick::consensus::simulation {
namespace {

constexpr std::uint64_t kTickMicros = 20'000;
constexpr std::uint64_t kSnapshotEvery = 20;

// Orders the event queue by time, then by the order in which events were scheduled.
struct Later {
  template <typename Event>
  bool operator()(const Event& left, const Event& right) const {
    return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
  }
};

std::string NameOf(std::size_t node) { return "n" + std::to_string(node); }

}  // namespace

Cluster::Cluster(std::uint64_t seed, std::size_t voters, std::size_t nodes, Faults faults)
    : random_(seed), faults_(faults), nodes_(nodes) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < voters; ++i) names.push_back(NameOf(i));
  checker_.SetMembership(Replica::InitialState(names).snapshot->membership);
  for (std::size_t i = 0; i < nodes; ++i) {
    if (i < voters) nodes_[i].disk = FakeDisk(Replica::InitialState(names));
    nodes_[i].clock_offset = Between(0, 1'000'000'000);
    // Clock rates may differ by at most 1%, which is what the leases assume.
    nodes_[i].clock_rate = 0.995 + static_cast<double>(Between(0, 100)) / 10'000;
    nodes_[i].slow_disk = Chance(50);
    nodes_[i].one_batch = Chance(50);
    Restart(i);
    Event tick;
    tick.at = Between(1, kTickMicros);
    tick.node = i;
    Schedule(std::move(tick));
  }
}

Options Cluster::MakeOptions(std::size_t node) {
  Options options;
  options.self = key(node);
  for (std::size_t i = 0; i < nodes_.size(); ++i) options.peers.push_back(NameOf(i));
  options.random = [random = std::mt19937_64(random_())]() mutable { return random(); };
  options.max_append_bytes = 200;
  options.max_snapshot_chunk_bytes = 25;
  options.max_inflight_messages = 4;
  options.trailing_entries = 5;
  return options;
}

ReplicaKey Cluster::key(std::size_t node) const { return {NameOf(node), nodes_[node].incarnation}; }

base::MonotonicTime Cluster::LocalTime(const Node& node) const {
  const bool stopped = faults_.clock_stops_in_pause && node.paused;
  const std::uint64_t elapsed = (stopped ? node.paused_at : now_) - node.clock_lost;
  const auto local = static_cast<std::int64_t>(static_cast<double>(elapsed) * node.clock_rate);
  return base::MonotonicTime(base::Duration(local + static_cast<std::int64_t>(node.clock_offset)));
}

void Cluster::Schedule(Event event) {
  event.sequence = ++sequence_;
  queue_.push_back(std::move(event));
  std::push_heap(queue_.begin(), queue_.end(), Later{});
}

void Cluster::RunFor(std::uint64_t micros) {
  const std::uint64_t end = now_ + micros;
  while (!queue_.empty() && queue_.front().at <= end) {
    std::pop_heap(queue_.begin(), queue_.end(), Later{});
    Event event = std::move(queue_.back());
    queue_.pop_back();
    now_ = event.at;
    Handle(std::move(event));
  }
  now_ = end;
}

void Cluster::Handle(Event event) {
  ++events_;
  Node& node = nodes_[event.node];
  const bool tick = event.kind == EventKind::kTick;
  if (tick) {
    Event next = event;
    next.at += kTickMicros;
    Schedule(std::move(next));
  }
  if (!node.replica || (!tick && event.start_number != node.start_number)) return;
  if (node.paused) {
    if (!tick) node.inbox.push_back(std::move(event));
    return;
  }
  switch (event.kind) {
    case EventKind::kTick:
      node.replica->Tick(LocalTime(node));
      break;
    case EventKind::kDeliver:
      node.replica->Step(event.message, LocalTime(node));
      break;
    case EventKind::kSynced:
      --node.batches_in_flight;
      if (std::exchange(node.sync_fails, false)) {
        node.replica->SyncFailed();
        break;
      }
      node.disk.Sync(event.batch);
      node.replica->Synced(event.batch, LocalTime(node));
      break;
  }
  ProcessOutput(event.node);
}

// Handles one output of a replica as its driver does, see `Replica`.
void Cluster::ProcessOutput(std::size_t index) {
  Node& node = nodes_[index];
  Output output = node.replica->ConsumeOutput(!node.one_batch || node.batches_in_flight == 0);
  for (const Message& message : output.messages) Transmit(index, message);
  if (output.restore) checker_.OnRestore(node.applied, *output.restore);
  for (const Entry& entry : output.committed) checker_.OnCommitted(node.applied, entry);
  if (node.applied.index >= node.replica->snapshot_index() + kSnapshotEvery) {
    if (!node.replica->TakeSnapshot(node.applied.index, node.applied.Encode())) {
      checker_.Report(Violation::kStopped);
    }
  }
  if (!output.sync.empty()) Store(index, std::move(output.sync));
  Check(index);
}

void Cluster::Store(std::size_t index, SyncBatch batch) {
  Node& node = nodes_[index];
  const std::uint64_t id = batch.id;
  node.disk.Write(std::move(batch));
  ++node.batches_in_flight;
  Event synced;
  synced.at = now_ + Between(1, node.slow_disk ? conditions_.max_slow_sync : conditions_.max_sync);
  synced.kind = EventKind::kSynced;
  synced.node = index;
  synced.start_number = node.start_number;
  synced.batch = id;
  Schedule(std::move(synced));
  if (!faults_.acknowledge_before_sync) return;
  node.replica->Synced(id, LocalTime(node));
  ProcessOutput(index);
}

void Cluster::Transmit(std::size_t from, const Message& message) {
  const auto to = static_cast<std::size_t>(std::stoul(message.to.name.substr(1)));
  ++messages_;
  if (cuts_.contains({from, to})) return;
  const int copies = Chance(conditions_.duplicate_percent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (Chance(conditions_.drop_percent)) continue;
    Event event;
    event.at = now_ + Between(conditions_.min_delay, conditions_.max_delay);
    if (Chance(conditions_.late_percent)) event.at += Between(0, conditions_.late_delay);
    event.kind = EventKind::kDeliver;
    event.node = to;
    event.start_number = nodes_[to].start_number;
    event.message = message;
    Schedule(std::move(event));
  }
}

void Cluster::Check(std::size_t index) {
  Node& node = nodes_[index];
  if (node.replica->fault()) {
    if (node.replica->fault()->code != base::ErrorCode::kIo) checker_.Report(Violation::kStopped);
    return Crash(index);
  }
  if (node.replica->role() == Role::kLeader) {
    checker_.OnLeader(node.replica->term(), key(index));
  }
  std::size_t leases = 0;
  std::uint64_t commit = std::numeric_limits<std::uint64_t>::max();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!HasLease(i)) continue;
    ++leases;
    commit = std::min(commit, nodes_[i].replica->commit_index());
  }
  checker_.OnLeases(leases, commit);
}

bool Cluster::HasLease(std::size_t node) const {
  const Node& state = nodes_[node];
  return state.replica && state.replica->HasLease(LocalTime(state));
}

std::optional<std::size_t> Cluster::Leader() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (HasLease(i)) return i;
  }
  return std::nullopt;
}

void Cluster::Crash(std::size_t node) {
  if (!up(node)) return;
  Resume(node);
  nodes_[node].sync_fails = false;
  nodes_[node].replica.reset();
  nodes_[node].disk.Crash(random_);
}

void Cluster::Restart(std::size_t node) {
  Node& state = nodes_[node];
  if (state.replica) return;
  ++state.start_number;
  state.batches_in_flight = 0;
  if (!faults_.keep_applied_state) state.applied = AppliedState{};
  std::vector<Entry>& entries = state.disk.state().entries;
  if (faults_.corrupt_entry && !entries.empty()) {
    Entry& last = entries.back();
    if (last.kind == EntryKind::kData) last.data.back() = '!';
  }
  auto replica = Replica::Create(MakeOptions(node), state.disk.state(), LocalTime(state));
  if (!replica) return checker_.Report(Violation::kStopped);
  state.replica.emplace(std::move(replica).value());
}

void Cluster::LoseDisk(std::size_t node) {
  Crash(node);
  nodes_[node].disk = FakeDisk();
  if (!faults_.reuse_incarnation) ++nodes_[node].incarnation;
}

void Cluster::Pause(std::size_t node) {
  if (!up(node) || paused(node)) return;
  nodes_[node].paused = true;
  nodes_[node].paused_at = now_;
}

void Cluster::Resume(std::size_t node) {
  Node& state = nodes_[node];
  if (state.paused && faults_.clock_stops_in_pause) state.clock_lost += now_ - state.paused_at;
  state.paused = false;
  for (Event& event : state.inbox) {
    event.at = now_;
    Schedule(std::move(event));
  }
  state.inbox.clear();
}

void Cluster::Isolate(std::size_t node) {
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    Cut(node, other);
    Cut(other, node);
  }
}

void Cluster::Recover() {
  Heal();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Resume(i);
    nodes_[i].sync_fails = false;
    Restart(i);
  }
}

bool Cluster::Propose(std::size_t node, std::string data) {
  if (!up(node) || paused(node)) return false;
  const bool taken = replica(node).Propose(std::move(data), LocalTime(nodes_[node])).has_value();
  // Not always, so that several proposals share one output as in a driver that handles inputs in
  // groups.
  if (random_() % 2 == 0) ProcessOutput(node);
  return taken;
}

bool Cluster::ProposeChange(std::size_t node, const MembershipChange& change) {
  if (!up(node) || paused(node)) return false;
  const auto position = replica(node).ProposeChange(change, LocalTime(nodes_[node]));
  if (!position) return false;
  change_index_ = std::max(change_index_, position.value().index);
  ProcessOutput(node);
  return true;
}

bool Cluster::AllMembersAreVoters() const {
  const auto& members = checker_.membership().members();
  return std::all_of(members.begin(), members.end(), [this](const Member& member) {
    const auto node = static_cast<std::size_t>(std::stoul(member.key.name.substr(1)));
    return member.role == MemberRole::kVoter && member.key == key(node);
  });
}

}  // namespace wagtailpick::consensus::simulation
