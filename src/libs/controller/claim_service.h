#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "claims/claim_store.h"
#include "claims/copy_source.h"
#include "claims/replica_copy.h"
#include "controller/controller_options.h"
#include "rpc/client.h"
#include "rpc/handlers.h"
#include "storage/claim_log.h"
#include "timeline/event_ring.h"

namespace wagtailpick::controller {

/// Content of the claim log when it was opened.
struct RecoveredClaims {
  /// Serialized `rpc::ClaimRecord` messages.
  std::vector<std::string> records;
  /// File offset of each record, in bytes.
  std::vector<std::uint64_t> offsets;
  /// Incarnation of the replica's disk; 1 for the disks that a new group starts with.
  std::uint64_t incarnation = 1;
};

/// Serves the idempotency claims of one replica. A reply is sent once the records that it depends
/// on are synced to disk; one sync covers all queued requests. Must be used on one event loop only.
class ClaimService {
 public:
  /// Rebuilds the claims from `recovered`. Fails with `kCorrupt` or `kInvalidArgument` if one of
  /// the records can't be read: without it a request that has run could run again.
  static base::Result<std::unique_ptr<ClaimService>> Create(const ControllerOptions& options,
                                                            storage::ClaimLog log,
                                                            const RecoveredClaims& recovered,
                                                            base::EventLoop& loop,
                                                            timeline::EventRing& events);

  /// Claims an idempotency key. Replies with an error when the request is invalid, and with `kIo`
  /// when the claim log cannot be synced.
  void Claim(const rpc::ClaimRequest& request, const rpc::Responder<rpc::ClaimReply>& done);

  /// Records that a claimed request ran, with its answer. Errors as for `Claim`.
  void Complete(const rpc::CompleteRequest& request, const rpc::Responder<rpc::Empty>& done);

  /// Gives up the claim of a request that did not run. Errors as for `Claim`.
  void Release(const rpc::ReleaseRequest& request, const rpc::Responder<rpc::Empty>& done);

  /// Returns one page of this replica's claims to a replica that lost its disk. Fails with `kIo`
  /// when the claim log cannot be synced.
  void Copy(const rpc::CopyRequest& request, const rpc::Responder<rpc::CopyReply>& done);

  /// Expires claims, continues the copy from other replicas, syncs the log and compacts it when
  /// due.
  void Tick();

 private:
  struct PendingReply {
    /// Number of records that must be synced before the reply is sent.
    std::uint64_t sync_up_to = 0;
    std::function<void(base::Result<void>)> reply;
  };

  ClaimService(const ControllerOptions& options, storage::ClaimLog log, std::uint64_t incarnation,
               base::EventLoop& loop, timeline::EventRing& events);

  base::Result<void> Recover(const RecoveredClaims& recovered);
  /// Accepts claims at once in a new group, or starts to copy those of the other replicas.
  void BecomeReady();
  void Store(const claims::Record& record);
  /// Logs the first error of the claim log; nothing is confirmed after it.
  void HandleLogFailure(const base::Error& error);
  void ReplyAfterSync(const claims::Mutation& mutation,
                      std::function<void(base::Result<void>)> reply);
  void Flush();
  /// Reads the answer at `position` from the claim log; returns false, and logs the error, if it
  /// can't be read. Without a position there is nothing to read.
  bool ReadAnswer(std::uint64_t position, std::string& answer);
  base::Result<claims::Record> ReadRecord(std::uint64_t position);
  void CompactWhenDue();
  void ContinueCopy();
  void RequestPage(claims::ReplicaIndex source);
  void HandlePage(claims::ReplicaIndex source, const base::Result<rpc::CopyReply>& reply);
  /// Logs the first of several failures in a row to copy from `source`.
  void HandleCopyFailure(claims::ReplicaIndex source, const base::Error& error);

  ControllerOptions options_;
  storage::ClaimLog log_;
  claims::ClaimStore store_;
  claims::CopySource source_;
  std::optional<claims::ReplicaCopy> copy_;
  std::vector<std::unique_ptr<rpc::Client>> peers_;
  /// Replicas from which the last page could not be copied.
  std::set<claims::ReplicaIndex> failed_sources_;
  base::EventLoop& loop_;
  timeline::EventRing& events_;
  std::vector<PendingReply> pending_replies_;
  /// Records since the start, including those that could not be appended.
  std::uint64_t records_stored_ = 0;
  std::uint64_t records_synced_ = 0;
  bool flush_scheduled_ = false;
  /// First error of the claim log; nothing is appended or synced after it.
  std::optional<base::Error> failure_;
  /// Size of the claim log at which it is next rewritten, in bytes.
  std::uint64_t compact_at_bytes_;
  base::MonotonicTime expire_at_{};
};

}  // namespace wagtailpick::controller
