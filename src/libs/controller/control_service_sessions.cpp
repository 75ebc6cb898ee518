#include "controller/control_service.h"
#include "controller/control_service_propose.h"
#include "controller/wire_session.h"
#include "rpc/stamp.h"

namespace wagtailpick::controller {
namespace {

using base::Result;
using timeline::EventKind;

}  // namespace

control::SessionId ControlService::FindSession(const std::string& vm) const {
  for (const auto& [id, session] : state_.sessions()) {
    if (session.vm == vm) return id;
  }
  return 0;
}

rpc::RenewReply ControlService::MakeNotLeaderReply() const {
  rpc::RenewReply reply;
  reply.set_granted(false);
  const std::string leader = log_->leader();
  if (leader != self_) reply.set_leader_address(leader);
  return reply;
}

void ControlService::Renew(const rpc::RenewRequest& request,
                           const rpc::Responder<rpc::RenewReply>& done) {
  rpc::ApplyStamp(events_, request);
  if (led_term_ == 0 || !log_->HasLease()) return done(MakeNotLeaderReply());
  const auto now = base::MonotonicNow();
  const control::SessionId id = FindSession(request.vm());
  const bool is_current = id != 0 && MatchesSession(state_.sessions().at(id), request);
  if (!is_current) return OpenSession(request, done);
  if (sessions_.Renew(id, now) != control::RenewVerdict::kRenewed) {
    // The session is being closed; the entry opens a new one with its next renewal.
    rpc::RenewReply reply;
    reply.set_leader_address(self_);
    return done(std::move(reply));
  }
  done(MakeGrantedReply(request, id, now));
}

void ControlService::OpenSession(const rpc::RenewRequest& request,
                                 const rpc::Responder<rpc::RenewReply>& done) {
  auto session = ToSession(request);
  if (!session) return done(boost::outcome_v2::failure(session.error()));
  Propose<control::SessionOutcome>(
      control::OpenSession{session.value()},
      [this, request, done](const Result<control::SessionOutcome>& outcome) {
        if (!outcome) return done(boost::outcome_v2::failure(outcome.error()));
        const auto now = base::MonotonicNow();
        const auto id = outcome.value().session;
        const bool is_open = outcome.value().verdict != control::SessionVerdict::kStale;
        const bool may_answer = led_term_ != 0 && log_->HasLease();
        if (!is_open || !may_answer ||
            sessions_.Renew(id, now) != control::RenewVerdict::kRenewed) {
          return done(MakeNotLeaderReply());
        }
        events_.Record(base::WallNowMillis(), EventKind::kLeaseGranted, request.vm(),
                       "session " + std::to_string(id));
        done(MakeGrantedReply(request, id, now));
      });
}

rpc::RenewReply ControlService::MakeGrantedReply(const rpc::RenewRequest& request,
                                                 control::SessionId session,
                                                 base::MonotonicTime now) {
  rpc::RenewReply reply;
  reply.set_granted(true);
  reply.set_leader_address(self_);
  reply.set_session_epoch(session);
  reply.set_lease_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(control::LeaseTimes().lease).count()));
  reply.set_bundle_version(state_.bundle().version);
  reply.set_view_version(view_version_);
  if (request.bundle_version() < state_.bundle().version) {
    reply.set_signed_bundle(state_.bundle().signed_bytes);
  }
  if (request.view_version() != view_version_) FillView(*reply.mutable_view());
  reports_[session].bundle_version = request.bundle_version();
  const auto demands = ToDemands(request);
  for (const auto& share : shares_.Renew(session, demands, now)) {
    FillGrant(share, *reply.add_shares());
  }
  rpc::AddStamp(events_, reply);
  return reply;
}

void ControlService::FillView(rpc::ClusterView& view) const {
  for (const auto& [id, session] : state_.sessions()) {
    auto* member = view.add_members();
    FillMember(session, *member);
    member->set_region(bundle_.RegionOf(session.place));
  }
  for (const auto& [key, ownership] : state_.upstreams()) {
    const auto owner = state_.sessions().find(ownership.owner);
    if (owner == state_.sessions().end()) continue;
    auto* out = view.add_ownerships();
    out->set_service(key.service);
    out->set_address(key.address);
    out->set_owner_vm(owner->second.vm);
    out->set_epoch(ownership.epoch);
  }
  for (const auto& service : bundle_.services) {
    auto* deadline = view.add_longest_deadlines();
    deadline->set_service(service.name);
    deadline->set_deadline_ms(state_.LongestDeadlineMs(service.name));
  }
}

void ControlService::Own(const rpc::OwnRequest& request,
                         const rpc::Responder<rpc::OwnReply>& done) {
  if (led_term_ == 0 || !log_->HasLease()) {
    return done(base::Fail(base::ErrorCode::kUnavailable, "this replica does not lead"));
  }
  control::GrantOwnership command{
      {request.service(), request.address()}, request.incarnation(), request.session_epoch()};
  Propose<control::OwnershipOutcome>(
      command, [this, done](const Result<control::OwnershipOutcome>& outcome) {
        if (!outcome) return done(boost::outcome_v2::failure(outcome.error()));
        const auto& value = outcome.value();
        rpc::OwnReply reply;
        reply.set_granted(value.verdict == control::OwnershipVerdict::kGranted ||
                          value.verdict == control::OwnershipVerdict::kAlreadyOwned);
        reply.set_epoch(value.ownership.epoch);
        reply.set_quarantine(value.ownership.quarantine);
        const auto owner = state_.sessions().find(value.ownership.owner);
        if (owner != state_.sessions().end()) reply.set_owner_vm(owner->second.vm);
        done(std::move(reply));
      });
}

void ControlService::Disown(const rpc::DisownRequest& request,
                            const rpc::Responder<rpc::Empty>& done) {
  control::ReleaseOwnership command{{request.service(), request.address()},
                                    request.session_epoch(),
                                    request.epoch(),
                                    request.idle()};
  Propose<control::ReleaseOutcome>(command, [done](const Result<control::ReleaseOutcome>& outcome) {
    if (!outcome) {
      return done(boost::outcome_v2::failure(outcome.error()));
    }
    done(rpc::Empty());
  });
}

}  // namespace wagtailpick::controller
