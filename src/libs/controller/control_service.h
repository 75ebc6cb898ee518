#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "base/result.h"
#include "bundle/bundle.h"
#include "control/control_state.h"
#include "control/session_table.h"
#include "control/share_ledger.h"
#include "controller/controller_options.h"
#include "replica/log_driver.h"
#include "rpc/client.h"
#include "rpc/handlers.h"
#include "timeline/event_ring.h"

namespace wagtailpick::controller {

/// Serves bundles, sessions, ownership and cap shares from the replicated log. Used on one loop
/// only.
class ControlService {
 public:
  /// Recovers from `disk`. Fails as `LogDriver::Create` does.
  static base::Result<std::unique_ptr<ControlService>> Create(const ControllerOptions& options,
                                                              replica::ReplicaDisk disk,
                                                              base::EventLoop& loop,
                                                              timeline::EventRing& events);

  void Submit(const rpc::SubmitRequest& request, const rpc::Responder<rpc::SubmitReply>& done);
  void Status(const rpc::StatusRequest& request, const rpc::Responder<rpc::StatusReply>& done);
  void Renew(const rpc::RenewRequest& request, const rpc::Responder<rpc::RenewReply>& done);
  void Own(const rpc::OwnRequest& request, const rpc::Responder<rpc::OwnReply>& done);
  void Disown(const rpc::DisownRequest& request, const rpc::Responder<rpc::Empty>& done);
  void Deliver(const rpc::ConsensusBatch& batch);
  void Tick();

 private:
  struct SessionReport {
    std::uint64_t bundle_version = 0;
  };

  ControlService(const ControllerOptions& options, timeline::EventRing& events);

  replica::LogDriver::Hooks LogHooks(base::EventLoop& loop);
  void SendToReplica(const std::string& name, const std::vector<consensus::Message>& messages);
  void Apply(std::uint64_t index, const std::string& data);
  void Restore(const std::string& snapshot);
  void HandleOutcome(const control::Command& command, const control::Outcome& outcome);
  void HandleBundleAccepted(const control::AcceptBundle& command);
  void HandleSessionEnded(control::SessionId session);
  template <typename Outcome>
  void Propose(const control::Command& command, std::function<void(base::Result<Outcome>)> done);
  void HandleMembership(const consensus::Membership& members);
  void CheckLeadership();
  void CloseExpired();
  void RemoveExpiredOrphans();
  void OpenSession(const rpc::RenewRequest& request, const rpc::Responder<rpc::RenewReply>& done);
  rpc::RenewReply MakeGrantedReply(const rpc::RenewRequest& request, control::SessionId session,
                                   base::MonotonicTime now);
  rpc::RenewReply MakeNotLeaderReply() const;
  void FillView(rpc::ClusterView& view) const;
  void RecordRefusal(const rpc::SubmitReply& reply);
  void FillSubmitReply(const control::BundleOutcome& outcome, rpc::SubmitReply& reply) const;
  rpc::Client* leader_client();
  control::SessionId FindSession(const std::string& vm) const;

  ControllerOptions options_;
  timeline::EventRing& events_;
  std::string self_;
  std::unique_ptr<replica::LogDriver> log_;
  control::ControlState state_;
  control::SessionTable sessions_;
  control::ShareLedger shares_;
  bundle::Bundle bundle_;
  /// Log index of the last change that entries have to see.
  std::uint64_t view_version_ = 0;
  /// Term for which the leader's memory was set up; 0 when this replica doesn't lead.
  std::uint64_t led_term_ = 0;
  /// The newest committed membership that an entry of the log has set; empty before.
  consensus::Membership members_;
  /// Set by `Apply` for the proposal that is settled right after it.
  base::Result<control::Outcome> last_outcome_;
  std::map<control::SessionId, SessionReport> reports_;
  std::map<control::UpstreamKey, base::MonotonicTime> orphans_;
  std::map<std::string, std::unique_ptr<rpc::Client>> clients_;
  /// Connections of the replicated log to the other replicas, by address.
  std::map<std::string, std::unique_ptr<rpc::Client>> replicas_;
};

}  // namespace wagtailpick::controller
