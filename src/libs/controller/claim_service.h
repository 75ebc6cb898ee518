#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

/// What the claim log held when it was opened.
struct RecoveredClaims {
  std::vector<std::string> records;
  std::vector<std::uint64_t> offsets;
  /// Number of the disk that they are on.
  std::uint64_t incarnation = 1;
};

/// Serves the claims of one replica. Replies wait until what they depend on is synced; one sync
/// covers all requests that were queued. Used on one loop only.
class ClaimService {
 public:
  ClaimService(const ControllerOptions& options, storage::ClaimLog log,
               const RecoveredClaims& recovered, base::EventLoop& loop,
               timeline::EventRing& events);

  void Claim(const rpc::ClaimRequest& request, const rpc::Responder<rpc::ClaimReply>& done);
  void Complete(const rpc::CompleteRequest& request, const rpc::Responder<rpc::Empty>& done);
  void Release(const rpc::ReleaseRequest& request, const rpc::Responder<rpc::Empty>& done);
  void Copy(const rpc::CopyRequest& request, const rpc::Responder<rpc::CopyReply>& done);
  void Tick();

 private:
  struct PendingReply {
    std::uint64_t sync_up_to = 0;
    std::function<void(base::Result<void>)> reply;
  };

  void Recover(const RecoveredClaims& recovered);
  void Store(const claims::Record& record);
  void ReplyAfterSync(const claims::Mutation& mutation,
                      std::function<void(base::Result<void>)> reply);
  void Flush();
  void ReadAnswer(std::uint64_t position, std::string& answer);
  void CompactWhenDue();
  void ContinueCopy();
  void RequestPage(claims::ReplicaIndex source);
  void HandlePage(const base::Result<rpc::CopyReply>& reply);

  ControllerOptions options_;
  storage::ClaimLog log_;
  claims::ClaimStore store_;
  claims::CopySource source_;
  std::optional<claims::ReplicaCopy> copy_;
  std::vector<std::unique_ptr<rpc::Client>> peers_;
  base::EventLoop& loop_;
  timeline::EventRing& events_;
  std::vector<PendingReply> pending_replies_;
  std::uint64_t records_stored_ = 0;
  std::uint64_t records_synced_ = 0;
  bool flush_scheduled_ = false;
  std::optional<base::Error> failure_;
  /// Size of the claim log from which on it is rewritten.
  std::uint64_t compact_at_bytes_;
  base::MonotonicTime expire_at_{};
};

}  // namespace wagtailpick::controller
