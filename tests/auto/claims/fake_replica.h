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

/// A replica process with a disk that keeps only what was synced.
class FakeReplica {
 public:
  struct Surroundings {
    EventQueue& queue;
    RandomSource& dice;
    LossyNetwork& network;
    LossyNetwork& copy_network;
    const ClaimSimulationOptions& options;
    Counts& counts;
    std::function<FakeReplica&(ReplicaIndex)> replica;
    /// Called when a lost disk is copied back.
    std::function<void()> on_repaired;
    /// Called when a claim is accepted, the worst time for many faults.
    std::function<void(ReplicaIndex)> on_accepted;
  };

  FakeReplica(Surroundings surroundings, ReplicaIndex index);

  void OnClaim(const ClaimRequest& request, const std::function<void(const ClaimReply&)>& reply);
  void OnComplete(const CompleteRequest& request);
  void OnRelease(const ReleaseRequest& request);
  void OnCopyRequest(const CopyRequest& request);
  void OnCopyPage(const CopyPage& page);

  /// Stops the process; what wasn't synced is lost, but for a part that was written by chance.
  void Crash(std::int64_t down_ms);
  void LoseDisk(std::int64_t down_ms);
  bool has_whole_disk() const { return has_whole_disk_; }

 private:
  struct Waiting {
    std::uint64_t needs;
    std::function<void()> send;
  };

  void Start();
  void Stop(std::int64_t down_ms);
  void Compact();
  void AskForPages(std::uint64_t life);
  void Keep(const Mutation& mutation, const std::function<void()>& send);
  void Sync(std::uint64_t life);
  void WriteOne(const Record& record);
  void FillAnswers(std::vector<Record>& records) const;
  std::int64_t wall() const { return s_.queue.now() + clock_offset_ms_; }

  Surroundings s_;
  ReplicaIdentity identity_;
  std::int64_t clock_offset_ms_;
  std::unique_ptr<ClaimStore> store_;
  std::optional<ReplicaCopy> copy_;
  CopySource source_{3};
  std::vector<Record> disk_;
  std::vector<Record> unsynced_;
  std::vector<Waiting> waiting_;
  std::uint64_t synced_ = 0;
  bool sync_due_ = false;
  bool has_whole_disk_ = true;
  /// Rises with each stop, so that events of an earlier life do nothing.
  std::uint64_t life_ = 0;
};

}  // namespace wagtailpick::claims
