#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "consensus/replica.h"
#include "simulation/fake_disk.h"

namespace wagtailpick::consensus::testing {

/// Options with the given name, incarnation 1 and a fixed source of randomness.
Options MakeOptions(const std::string& name);

base::Result<Replica> CreateAt(const std::string& name, const RecoveredState& state,
                               base::MonotonicTime now);

/// One replica of the group "a", "b", "c" (unless it recovers another state) with a disk and a
/// clock that the test moves by hand. The test plays the other replicas.
class SingleReplica {
 public:
  explicit SingleReplica(const std::string& name = "a",
                         RecoveredState state = Replica::InitialState({"a", "b", "c"}));

  Replica& replica() { return replica_; }
  base::MonotonicTime now() const { return now_; }

  void Advance(std::int64_t millis);
  void Step(const Message& message) { replica_.Step(message, now_); }
  /// Takes outputs and syncs until nothing is left; returns all messages that were sent and keeps
  /// the committed entries.
  std::vector<Message> Settle();
  /// Starts the process again from what was synced.
  void Restart();
  /// Wins an election with the votes of "b"; its first entry isn't acknowledged yet.
  void BecomeLeader();

  /// A message to this replica in its present term.
  Message From(const std::string& sender, MessageKind kind) const;
  /// An append after position (index, term) with entries of the present term.
  Message AppendFrom(const std::string& sender, std::uint64_t log_index, std::uint64_t log_term,
                     std::size_t entries) const;
  /// An acknowledgement up to `match` of a message sent at `sent_at`.
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
