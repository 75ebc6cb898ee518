#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "claim_simulation_options.h"
#include "claims/claim_store.h"
#include "claims/copy_source.h"
#include "claims/replica_copy.h"
#include "event_queue.h"
#include "run_checker.h"

namespace wagtailpick::claims {

/// Simulates a replica process with a disk. Records that were not synced are lost in a crash,
/// except for a random number of them.
class FakeReplica {
 public:
  struct Environment {
    EventQueue& queue;
    RandomSource& random;
    LossyNetwork& network;
    LossyNetwork& copy_network;
    const ClaimSimulationOptions& options;
    Counts& counts;
    std::function<FakeReplica&(ReplicaIndex)> replica;
    /// Called when a replica that lost its disk has completed its copy.
    std::function<void()> on_disk_repaired;
    /// Called when a claim is accepted, which is the most critical time for many faults.
    std::function<void(ReplicaIndex)> on_claim_accepted;
  };

  FakeReplica(Environment environment, ReplicaIndex index);

  void OnClaim(const ClaimRequest& request, const std::function<void(const ClaimReply&)>& reply);
  void OnComplete(const CompleteRequest& request);
  void OnRelease(const ReleaseRequest& request);
  void OnCopyRequest(const CopyRequest& request);
  void OnCopyPage(const CopyPage& page);

  /// Stops the process for `down_ms`. Records that were not synced are lost, except for the first
  /// few.
  void Crash(std::int64_t down_ms);
  /// Stops the process for `down_ms` and clears its disk. It restarts under a new incarnation.
  void LoseDisk(std::int64_t down_ms);
  /// False from the loss of the disk until the copy is complete and synced.
  bool has_complete_disk() const { return has_complete_disk_; }

 private:
  /// A message that waits for the sync of records.
  struct Waiting {
    std::uint64_t sync_before;
    std::function<void()> send;
  };

  void Start();
  void Stop(std::int64_t down_ms);
  void Compact();
  void RequestPages(std::uint64_t process_number);
  /// Writes the record of `mutation` and calls `send` when the required records are synced.
  void Persist(const Mutation& mutation, const std::function<void()>& send);
  void Sync(std::uint64_t process_number);
  void Write(const Record& record);
  void FillAnswers(std::vector<Record>& records) const;
  std::int64_t wall() const { return env_.queue.now() + clock_offset_ms_; }

  Environment env_;
  ReplicaIdentity identity_;
  std::int64_t clock_offset_ms_;
  std::unique_ptr<ClaimStore> store_;
  std::optional<ReplicaCopy> copy_;
  CopySource source_{3};
  std::vector<Record> disk_;
  std::vector<Record> unsynced_;
  std::vector<Waiting> waiting_;
  std::uint64_t synced_ = 0;
  bool sync_scheduled_ = false;
  bool has_complete_disk_ = true;
  /// Increased when the process stops, so that events of the earlier process have no effect.
  std::uint64_t process_number_ = 0;
};

}  // namespace wagtailpick::claims
