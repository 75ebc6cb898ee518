#include "controller/control_service.h"

#include <utility>
#include <variant>
#include <vector>

#include "bundle/parse_bundle.h"
#include "bundle/signed_bundle.h"
#include "control/command_codec.h"
#include "controller/control_service_propose.h"
#include "controller/message_codec.h"
#include "controller/share_limits.h"
#include "logging/log.h"
#include "rpc/stamp.h"

namespace wagtailpick::controller {
namespace {

using base::Result;
using timeline::EventKind;

constexpr base::Duration kDeliverTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kForwardTimeout = std::chrono::seconds(2);
/// Longer than any request deadline (10 s), so that no request still runs at a removed upstream.
constexpr base::Duration kOrphanRetention = std::chrono::seconds(30);

rpc::SubmitReply Unavailable(const std::string& message) {
  rpc::SubmitReply reply;
  reply.set_outcome(rpc::SUBMIT_OUTCOME_UNAVAILABLE);
  reply.set_message(message);
  return reply;
}

rpc::SubmitOutcome OutcomeToWire(control::BundleVerdict verdict) {
  switch (verdict) {
    case control::BundleVerdict::kAccepted:
      return rpc::SUBMIT_OUTCOME_ACCEPTED;
    case control::BundleVerdict::kRepeated:
      return rpc::SUBMIT_OUTCOME_ALREADY_ACCEPTED;
    case control::BundleVerdict::kConflict:
      return rpc::SUBMIT_OUTCOME_CONFLICT;
    case control::BundleVerdict::kSuperseded:
      break;
  }
  return rpc::SUBMIT_OUTCOME_SUPERSEDED;
}

struct CheckedBundle {
  bundle::SignedBundle stored;
  bundle::Bundle parsed;
};

/// Reads the bundle of a committed command or of a snapshot.
Result<bundle::Bundle> ReadBundle(const std::string& signed_bytes) {
  BOOST_OUTCOME_TRY(stored, bundle::DecodeSignedBundle(signed_bytes));
  return bundle::ParseBundle(stored.payload);
}

/// The content of a snapshot.
struct StoredState {
  control::ControlState state;
  bundle::Bundle bundle;
};

Result<StoredState> ReadSnapshot(const std::string& snapshot) {
  StoredState stored;
  BOOST_OUTCOME_TRY(state, control::ControlState::DecodeSnapshot(snapshot));
  if (state.bundle().version > 0) {
    BOOST_OUTCOME_TRY(parsed, ReadBundle(state.bundle().signed_bytes));
    stored.bundle = std::move(parsed);
  }
  stored.state = std::move(state);
  return stored;
}

base::Error UnreadableSnapshot(const base::Error& error) {
  return {error.code, "the snapshot can't be read: " + error.message};
}

Result<CheckedBundle> CheckBundle(const std::string& bytes, const std::vector<std::string>& keys) {
  BOOST_OUTCOME_TRY(stored, bundle::DecodeSignedBundle(bytes));
  BOOST_OUTCOME_TRY(bundle::Verify(stored, keys));
  BOOST_OUTCOME_TRY(parsed, bundle::ParseBundle(stored.payload));
  return CheckedBundle{std::move(stored), std::move(parsed)};
}

control::AcceptBundle ToCommand(const CheckedBundle& checked, const std::string& bytes) {
  control::AcceptBundle command;
  command.version = checked.parsed.version;
  command.digest = checked.stored.Digest();
  command.signed_bytes = bytes;
  for (const auto& service : checked.parsed.services) {
    command.deadlines.push_back(
        {service.name, static_cast<std::uint32_t>(service.request_deadline_ms)});
  }
  return command;
}

}  // namespace

ControlService::ControlService(const ControllerOptions& options, timeline::EventRing& events)
    : options_(options),
      events_(events),
      self_(options.replicas.at(options.replica_id - 1)),
      last_outcome_(control::Outcome()) {}

Result<std::unique_ptr<ControlService>> ControlService::Create(const ControllerOptions& options,
                                                               replica::ReplicaDisk disk,
                                                               base::EventLoop& loop,
                                                               timeline::EventRing& events) {
  std::unique_ptr<ControlService> service(new ControlService(options, events));
  auto log_options = replica::LogDriver::DefaultOptions();
  log_options.peers = options.replicas;
  log_options.check_snapshot = [](const std::string& snapshot) -> Result<void> {
    const auto stored = ReadSnapshot(snapshot);
    if (!stored) return UnreadableSnapshot(stored.error());
    return base::Ok();
  };
  for (const auto& peer : options.replicas) {
    if (peer != service->self_) service->replicas_[peer] = rpc::Client::Create(peer);
  }
  BOOST_OUTCOME_TRY(log, replica::LogDriver::Create(service->self_, std::move(log_options),
                                                    std::move(disk), service->LogHooks(loop)));
  if (service->state_failure_) return *service->state_failure_;
  service->log_ = std::move(log);
  return service;
}

replica::LogDriver::Hooks ControlService::LogHooks(base::EventLoop& loop) {
  replica::LogDriver::Hooks hooks;
  hooks.apply = [this](std::uint64_t index, const std::string& data) { Apply(index, data); };
  hooks.restore = [this](const std::string& snapshot) { Restore(snapshot); };
  hooks.members = [this](const consensus::Membership& members) { HandleMembership(members); };
  hooks.snapshot = [this] { return state_.EncodeSnapshot(); };
  hooks.send = [this](const std::string& to, const std::vector<consensus::Message>& messages) {
    SendToReplica(to, messages);
  };
  hooks.defer = [&loop](std::function<void()> task) { return loop.TryPost(std::move(task)); };
  return hooks;
}

void ControlService::SendToReplica(const std::string& name,
                                   const std::vector<consensus::Message>& messages) {
  const auto peer = replicas_.find(name);
  if (peer == replicas_.end()) return;
  rpc::ConsensusBatch batch;
  for (const auto& message : messages) *batch.add_messages() = ToWire(message);
  rpc::AddStamp(events_, batch);
  peer->second->Deliver(batch, kDeliverTimeout, [](const base::Result<rpc::Empty>&) {});
}

void ControlService::Apply(std::uint64_t index, const std::string& data) {
  last_outcome_ = ApplyRecord(index, data);
  if (last_outcome_) return;
  logging::Write(logging::Level::kError, "record_unreadable", last_outcome_.error().message,
                 {{"index", std::to_string(index)}});
}

Result<control::Outcome> ControlService::ApplyRecord(std::uint64_t index, const std::string& data) {
  BOOST_OUTCOME_TRY(command, control::DecodeCommand(data));
  bundle::Bundle accepted;
  if (const auto* accept = std::get_if<control::AcceptBundle>(&command)) {
    BOOST_OUTCOME_TRY(parsed, ReadBundle(accept->signed_bytes));
    accepted = std::move(parsed);
  }
  BOOST_OUTCOME_TRY(outcome, state_.Apply(index, command));
  HandleOutcome(command, outcome, std::move(accepted));
  return outcome;
}

void ControlService::Restore(const std::string& snapshot) {
  auto stored = ReadSnapshot(snapshot);
  if (!stored) {
    state_failure_ = UnreadableSnapshot(stored.error());
    logging::Write(logging::Level::kError, "snapshot_unreadable", state_failure_->message);
    // `Create` returns the error of the snapshot on this disk.
    if (log_ != nullptr) log_->Halt(*state_failure_);
    return;
  }
  state_ = std::move(stored.value().state);
  bundle_ = std::move(stored.value().bundle);
  view_version_ = state_.applied_index();
}

void ControlService::HandleMembership(const consensus::Membership& members) {
  for (const auto& member : members.members()) {
    const auto* before = members_.Find(member.key);
    if (before != nullptr && before->role == member.role) continue;
    const bool is_voter = member.role == consensus::MemberRole::kVoter;
    events_.Record(base::WallNowMillis(),
                   is_voter ? EventKind::kReplicaCaughtUp : EventKind::kReplicaJoined,
                   member.key.name, "log, incarnation " + std::to_string(member.key.incarnation));
  }
  for (const auto& member : members_.members()) {
    if (members.FindName(member.key.name) != nullptr) continue;
    events_.Record(base::WallNowMillis(), EventKind::kReplicaRemoved, member.key.name, "log");
  }
  members_ = members;
}

void ControlService::HandleOutcome(const control::Command& command, const control::Outcome& outcome,
                                   bundle::Bundle accepted) {
  const auto now = base::MonotonicNow();
  if (const auto* bundle = std::get_if<control::BundleOutcome>(&outcome)) {
    if (bundle->verdict == control::BundleVerdict::kAccepted) {
      HandleBundleAccepted(std::get<control::AcceptBundle>(command), std::move(accepted));
    }
  } else if (const auto* session = std::get_if<control::SessionOutcome>(&outcome)) {
    for (const auto ended : session->ended) HandleSessionEnded(ended);
    if (session->verdict == control::SessionVerdict::kOpened) sessions_.Add(session->session, now);
  } else if (const auto* close = std::get_if<control::CloseOutcome>(&outcome)) {
    HandleSessionEnded(std::get<control::CloseSession>(command).session);
    for (const auto& orphan : close->orphans) orphans_[orphan] = now;
  }
  view_version_ = state_.applied_index();
}

void ControlService::HandleBundleAccepted(const control::AcceptBundle& command,
                                          bundle::Bundle accepted) {
  bundle_ = std::move(accepted);
  shares_.SetLimits(LimitsOf(bundle_), base::MonotonicNow());
  events_.Record(base::WallNowMillis(), EventKind::kBundleAccepted, std::to_string(command.version),
                 command.digest);
}

void ControlService::HandleSessionEnded(control::SessionId session) {
  sessions_.Remove(session);
  reports_.erase(session);
  events_.Record(base::WallNowMillis(), EventKind::kLeaseEnded, std::to_string(session), "");
}

void ControlService::Deliver(const rpc::ConsensusBatch& batch) {
  rpc::ApplyStamp(events_, batch);
  std::vector<consensus::Message> messages;
  messages.reserve(static_cast<std::size_t>(batch.messages_size()));
  for (const auto& wire : batch.messages()) {
    auto message = FromWire(wire);
    if (!message) {
      logging::Write(logging::Level::kError, "message_unreadable", message.error().message,
                     {{"replica", wire.from().name()}});
      continue;
    }
    messages.push_back(std::move(message.value()));
  }
  log_->Step(messages);
}

void ControlService::Tick() {
  log_->Tick();
  LogFault();
  CheckLeadership();
  if (led_term_ == 0) return;
  CloseExpired();
  RemoveExpiredOrphans();
}

void ControlService::LogFault() {
  const auto& fault = log_->replica().fault();
  if (!fault || fault_logged_) return;
  fault_logged_ = true;
  logging::Write(logging::Level::kError, "log_stopped",
                 fault->message + "; this replica takes no part in its group until a restart");
}

// Runs at each tick. An election starts only in a tick too, so between two terms that this replica
// leads there is a tick which resets `led_term_`, and no call is answered with it in a later term.
void ControlService::CheckLeadership() {
  if (!log_->HasLease()) {
    const bool lost = led_term_ != 0 && log_->replica().role() != consensus::Role::kLeader;
    if (lost) {
      led_term_ = 0;
      events_.Record(base::WallNowMillis(), EventKind::kLeaderLost, self_, "");
    }
    return;
  }
  if (led_term_ == log_->replica().term()) return;
  led_term_ = log_->replica().term();
  const auto now = base::MonotonicNow();
  sessions_.Reset(state_.OpenSessions(), now);
  shares_.Reset(now);
  shares_.SetLimits(LimitsOf(bundle_), now);
  for (const auto& [key, ownership] : state_.upstreams()) {
    if (ownership.owner == 0) orphans_[key] = now;
  }
  events_.Record(base::WallNowMillis(), EventKind::kLeaderElected, self_,
                 "term " + std::to_string(led_term_));
}

void ControlService::CloseExpired() {
  for (const auto session : sessions_.CollectExpired(base::MonotonicNow())) {
    Propose<control::CloseOutcome>(control::CloseSession{session},
                                   [](const Result<control::CloseOutcome>&) {});
  }
}

void ControlService::RemoveExpiredOrphans() {
  const auto now = base::MonotonicNow();
  for (auto orphan = orphans_.begin(); orphan != orphans_.end();) {
    const auto known = state_.upstreams().find(orphan->first);
    const bool is_orphan = known != state_.upstreams().end() && known->second.owner == 0;
    if (is_orphan && now - orphan->second < kOrphanRetention) {
      ++orphan;
      continue;
    }
    if (is_orphan) {
      Propose<control::ReleaseOutcome>(control::RemoveUpstream{orphan->first, known->second.epoch},
                                       [](const Result<control::ReleaseOutcome>&) {});
    }
    orphan = orphans_.erase(orphan);
  }
}

rpc::Client* ControlService::leader_client() {
  const std::string leader = log_->leader();
  if (leader.empty() || leader == self_) return nullptr;
  auto& client = clients_[leader];
  if (client == nullptr) client = rpc::Client::Create(leader);
  return client.get();
}

void ControlService::Submit(const rpc::SubmitRequest& request,
                            const rpc::Responder<rpc::SubmitReply>& done) {
  const auto checked = CheckBundle(request.signed_bundle(), options_.operator_keys);
  if (!checked) {
    rpc::SubmitReply reply;
    reply.set_outcome(rpc::SUBMIT_OUTCOME_INVALID);
    reply.set_message(checked.error().message);
    return done(std::move(reply));
  }
  if (log_->replica().role() != consensus::Role::kLeader) {
    rpc::Client* leader = leader_client();
    if (leader == nullptr || request.forwarded()) return done(Unavailable("no leader is known"));
    rpc::SubmitRequest forwarded_request = request;
    forwarded_request.set_forwarded(true);
    return leader->Submit(forwarded_request, kForwardTimeout, done);
  }
  Propose<control::BundleOutcome>(ToCommand(checked.value(), request.signed_bundle()),
                                  [this, done, version = checked.value().parsed.version](
                                      const Result<control::BundleOutcome>& outcome) {
                                    if (!outcome) return done(Unavailable(outcome.error().message));
                                    rpc::SubmitReply reply;
                                    reply.set_version(version);
                                    FillSubmitReply(outcome.value(), reply);
                                    RecordRefusal(reply);
                                    done(std::move(reply));
                                  });
}

void ControlService::RecordRefusal(const rpc::SubmitReply& reply) {
  if (reply.message().empty()) return;
  events_.Record(base::WallNowMillis(), EventKind::kBundleRefused, std::to_string(reply.version()),
                 reply.message());
}

void ControlService::FillSubmitReply(const control::BundleOutcome& outcome,
                                     rpc::SubmitReply& reply) const {
  reply.set_outcome(OutcomeToWire(outcome.verdict));
  reply.set_digest(outcome.answer.digest);
  reply.set_current_version(state_.bundle().version);
  if (outcome.verdict == control::BundleVerdict::kSuperseded) {
    reply.set_message("version " + std::to_string(state_.bundle().version) + " is in force");
  }
  if (outcome.verdict == control::BundleVerdict::kConflict) {
    reply.set_message("another bundle has this version");
  }
}

void ControlService::Status(const rpc::StatusRequest& request,
                            const rpc::Responder<rpc::StatusReply>& done) {
  if (!log_->HasLease()) {
    rpc::Client* leader = leader_client();
    if (leader == nullptr || request.forwarded()) {
      return done(base::Fail(base::ErrorCode::kUnavailable, "no leader is known"));
    }
    rpc::StatusRequest forwarded_request;
    forwarded_request.set_forwarded(true);
    return leader->Status(forwarded_request, kForwardTimeout, done);
  }
  rpc::StatusReply reply;
  reply.set_current(true);
  reply.set_replica(options_.vm);
  reply.set_leader(self_);
  reply.set_term(log_->replica().term());
  reply.set_bundle_version(state_.bundle().version);
  reply.set_bundle_digest(state_.bundle().digest);
  reply.set_upstreams(static_cast<std::uint32_t>(state_.upstreams().size()));
  for (const auto& [id, session] : state_.sessions()) {
    auto* status = reply.add_sessions();
    status->set_vm(session.vm);
    status->set_data_centre(session.place);
    const auto report = reports_.find(id);
    status->set_bundle_version(report == reports_.end() ? 0 : report->second.bundle_version);
    status->set_lease_held(report != reports_.end());
    status->set_draining(session.draining);
  }
  done(std::move(reply));
}

}  // namespace wagtailpick::controller
