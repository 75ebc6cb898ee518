#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "simulation/fake_disk.h"

namespace wagtailpick::consensus::testing {

/// Options with the given name, incarnation 1 and a fixed source of randomness.
Options MakeOptions(const std::string& name);

/// Creates the replica `name` from `state` with `MakeOptions`.
base::Result<Replica> CreateAt(const std::string& name, const RecoveredState& state,
                               base::MonotonicTime now);

/// One replica, by default of the group "a", "b", "c", with a simulated disk and clock. The test
/// advances the clock and sends the messages of the other replicas.
class SingleReplica {
 public:
  explicit SingleReplica(const std::string& name = "a",
                         RecoveredState state = Replica::InitialState({"a", "b", "c"}));

  Replica& replica() { return replica_; }
  base::MonotonicTime now() const { return now_; }

  /// Advances the clock by `millis` ms and ticks the replica.
  void Advance(std::int64_t millis);
  void Step(const Message& message) { replica_.Step(message, now_); }
  /// Consumes and syncs outputs until there are none left. Returns all sent messages and adds the
  /// committed entries to `committed()`.
  std::vector<Message> DrainOutputs();
  /// Restarts the replica from what was synced.
  void Restart();
  /// Makes the replica win an election with the votes of "b". Its first entry is not acknowledged.
  void BecomeLeader();

  /// Returns a message to this replica in its current term.
  Message From(const std::string& sender, MessageKind kind) const;
  /// Returns an append after position (`log_index`, `log_term`) with entries of the current term.
  Message AppendFrom(const std::string& sender, std::uint64_t log_index, std::uint64_t log_term,
                     std::size_t entries) const;
  /// Returns an acknowledgement up to `match` of a message sent at `sent_at`.
  Message AckFrom(const std::string& sender, std::uint64_t match,
                  base::MonotonicTime sent_at) const;

  simulation::FakeDisk& disk() { return disk_; }
  const std::vector<Entry>& committed() const { return committed_; }

 private:
  const std::string name_;
  simulation::FakeDisk disk_;
  base::MonotonicTime now_{base::Duration(std::chrono::seconds(100))};
  Replica replica_;
  std::vector<Entry> committed_;
};

}  // namespace wagtailpick::consensus::testing
