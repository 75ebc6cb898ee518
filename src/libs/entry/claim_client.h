#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "claims/claim_round.h"
#include "rpc/client.h"

namespace wagtailpick::entry {

/// Claims idempotency keys and trials at the control replicas. Used on the dispatcher's loop only.
class ClaimClient {
 public:
  using DecisionCallback = std::function<void(const claims::Decision&)>;

  ClaimClient(const std::vector<std::string>& replicas, base::EventLoop& loop);

  /// Asks all replicas for the claim `request` and calls `done` exactly once, on the loop, with the
  /// decision of the round. Releases the attempt at all replicas if the decision requires that.
  void Claim(const claims::ClaimRequest& request, DecisionCallback done);

  /// Sends the stored answer of an attempt that ran to all replicas. Failures are ignored.
  void Complete(const claims::CompleteRequest& request);

  /// Sends the release of an attempt that was not run to all replicas. Failures are ignored.
  void Release(const claims::ReleaseRequest& request);

 private:
  struct Round;

  void FinishRound(const std::shared_ptr<Round>& round, const claims::Decision& decision);

  std::vector<std::shared_ptr<rpc::Client>> replicas_;
  base::EventLoop& loop_;
  /// Incarnations of the replicas seen in earlier rounds.
  claims::Incarnations known_incarnations_;
};

/// Returns a new random attempt identifier.
claims::AttemptId NewAttempt();

}  // namespace wagtailpick::entry
