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

/// Claims keys at the control replicas. Used on the dispatcher's loop only.
class ClaimClient {
 public:
  using Done = std::function<void(const claims::Decision&)>;

  ClaimClient(const std::vector<std::string>& replicas, base::EventLoop& loop);

  /// Runs one round for `request`; `done` is called exactly once, on the loop. A lost round's own
  /// attempt is released.
  void Claim(const claims::ClaimRequest& request, Done done);

  /// Tells all replicas how an attempt ended.
  void Complete(const claims::CompleteRequest& request);
  void Release(const claims::ReleaseRequest& request);

 private:
  struct Round;

  void FinishRound(const std::shared_ptr<Round>& round, const claims::Decision& decision);

  std::vector<std::shared_ptr<rpc::Client>> replicas_;
  base::EventLoop& loop_;
  claims::Incarnations known_incarnations_;
};

/// Returns a new random attempt number.
claims::AttemptId NewAttempt();

}  // namespace wagtailpick::entry
