#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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

/// Serves bundles, sessions, ownership and cap shares from the replicated log. Must be used on one
/// event loop only.
class ControlService {
 public:
  /// Recovers from `disk`. Fails as `LogDriver::Create` does, and with `kCorrupt` or
  /// `kInvalidArgument` if its snapshot or the bundle in it can't be read.
  static base::Result<std::unique_ptr<ControlService>> Create(const ControllerOptions& options,
                                                              replica::ReplicaDisk disk,
                                                              base::EventLoop& loop,
                                                              timeline::EventRing& events);

  /// Checks a signed bundle and proposes it; forwards it to the leader when this replica is not the
  /// leader. The outcome, including "no leader", is in the reply.
  void Submit(const rpc::SubmitRequest& request, const rpc::Responder<rpc::SubmitReply>& done);

  /// Returns the leader's view of bundle and sessions; forwards the request when this replica has
  /// no leader lease. Fails with `kUnavailable` when no leader is known.
  void Status(const rpc::StatusRequest& request, const rpc::Responder<rpc::StatusReply>& done);

  /// Renews the lease of an entry's session and its shares, opening or updating the session first
  /// when necessary. The reply has `granted` false when this replica does not lead. Fails with
  /// `kInvalidArgument` on malformed addresses and with the log's error when the proposal fails.
  void Renew(const rpc::RenewRequest& request, const rpc::Responder<rpc::RenewReply>& done);

  /// Grants ownership of an upstream to a session. Fails with `kUnavailable` when this replica does
  /// not lead, and with the log's error when the proposal fails.
  void Own(const rpc::OwnRequest& request, const rpc::Responder<rpc::OwnReply>& done);

  /// Releases the ownership of an upstream. Fails with the log's error when the proposal fails.
  void Disown(const rpc::DisownRequest& request, const rpc::Responder<rpc::Empty>& done);

  /// Handles consensus messages of another replica.
  void Deliver(const rpc::ConsensusBatch& batch);

  /// Advances the log's timers; on the leader also closes sessions whose lease expired and removes
  /// upstreams that have been without an owner for long enough.
  void Tick();

 private:
  /// State that an entry reported with its last renewal.
  struct SessionReport {
    std::uint64_t bundle_version = 0;
  };

  ControlService(const ControllerOptions& options, timeline::EventRing& events);

  replica::LogDriver::Hooks LogHooks(base::EventLoop& loop);
  void SendToReplica(const std::string& name, const std::vector<consensus::Message>& messages);
  void Apply(std::uint64_t index, const std::string& data);
  /// Replaces the state by a snapshot. Halts the log if the snapshot can't be read, as this replica
  /// would otherwise go on with another state than its group.
  void Restore(const std::string& snapshot);
  /// Applies a record. One that can't be read changes nothing; all replicas skip it.
  base::Result<control::Outcome> ApplyRecord(std::uint64_t index, const std::string& data);
  /// `accepted` is the bundle of an `AcceptBundle` command.
  void HandleOutcome(const control::Command& command, const control::Outcome& outcome,
                     bundle::Bundle accepted);
  void HandleBundleAccepted(const control::AcceptBundle& command, bundle::Bundle accepted);
  void HandleSessionEnded(control::SessionId session);
  template <typename Outcome>
  void Propose(const control::Command& command, std::function<void(base::Result<Outcome>)> done);
  void HandleMembership(const consensus::Membership& members);
  /// Logs the error that stopped the log, once.
  void LogFault();
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
  bool fault_logged_ = false;
  /// Why the snapshot can't be read.
  std::optional<base::Error> state_failure_;
  control::ControlState state_;
  control::SessionTable sessions_;
  control::ShareLedger shares_;
  bundle::Bundle bundle_;
  /// Log index of the last change to the cluster view that is sent to entries.
  std::uint64_t view_version_ = 0;
  /// Term for which the leader-only state (leases, shares) was initialised; 0 when not leading.
  std::uint64_t led_term_ = 0;
  /// Newest committed membership of the replica group; empty until the log has set one.
  consensus::Membership members_;
  /// Outcome of the last `Apply`. The log completes a proposal right after applying it, so the
  /// completion reads its outcome here.
  base::Result<control::Outcome> last_outcome_;
  std::map<control::SessionId, SessionReport> reports_;
  /// Upstreams without an owner and the time since when, as seen by this replica.
  std::map<control::UpstreamKey, base::MonotonicTime> orphans_;
  /// Connections that forward requests to the leader, by address.
  std::map<std::string, std::unique_ptr<rpc::Client>> clients_;
  /// Connections that send consensus messages to the other replicas, by address.
  std::map<std::string, std::unique_ptr<rpc::Client>> replicas_;
};

}  // namespace wagtailpick::controller
