#include "controller/claim_service.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/monotonic_time.h"
#include "logging/log.h"
#include "rpc/claim_codec.h"

namespace wagtailpick::controller {
namespace {

using base::Result;
using logging::Level;

constexpr std::size_t kKeysPerPage = 2'000;
/// Expiry scans all keys, so it runs rarely; an access to a key checks that key's expiry itself.
constexpr base::Duration kExpireInterval = std::chrono::minutes(1);
constexpr base::Duration kCopyTimeout = std::chrono::seconds(2);

/// Returns a key that is equal for records of the same claim, fence or replica state.
std::string IdentityOf(const claims::Record& record) {
  claims::Record identity;
  identity.kind = record.kind;
  identity.table = record.table;
  identity.key = record.key;
  identity.attempt = record.attempt;
  identity.replica = record.replica;
  identity.incarnation = record.incarnation;
  return rpc::ToWire(identity).SerializeAsString();
}

Result<claims::Record> DecodeRecord(const std::string& bytes) {
  rpc::ClaimRecord wire;
  if (!wire.ParseFromString(bytes)) {
    return base::Fail(base::ErrorCode::kCorrupt, "no message of the type ClaimRecord");
  }
  return rpc::FromWire(wire);
}

claims::ReplicaIdentity IdentityOf(const ControllerOptions& options, std::uint64_t incarnation) {
  return {static_cast<claims::ReplicaIndex>(options.replica_id - 1),
          static_cast<claims::Incarnation>(incarnation)};
}

}  // namespace

Result<std::unique_ptr<ClaimService>> ClaimService::Create(const ControllerOptions& options,
                                                           storage::ClaimLog log,
                                                           const RecoveredClaims& recovered,
                                                           base::EventLoop& loop,
                                                           timeline::EventRing& events) {
  std::unique_ptr<ClaimService> service(
      new ClaimService(options, std::move(log), recovered.incarnation, loop, events));
  BOOST_OUTCOME_TRY(service->Recover(recovered));
  if (!service->store_.ready()) service->BecomeReady();
  return service;
}

ClaimService::ClaimService(const ControllerOptions& options, storage::ClaimLog log,
                           std::uint64_t incarnation, base::EventLoop& loop,
                           timeline::EventRing& events)
    : options_(options),
      log_(std::move(log)),
      store_({}, IdentityOf(options, incarnation)),
      source_(kKeysPerPage),
      loop_(loop),
      events_(events),
      compact_at_bytes_(options.claim_log_rewrite_bytes) {}

void ClaimService::BecomeReady() {
  if (store_.identity().incarnation == 1) {
    // A new group has no claims yet, so there is nothing to copy from the other replicas.
    const auto mutation = store_.MarkReady();
    if (mutation.record) Store(*mutation.record);
    return;
  }
  copy_.emplace(options_.replicas.size(), store_.identity(),
                static_cast<std::uint64_t>(base::WallNowMillis()));
  for (const auto& address : options_.replicas) peers_.push_back(rpc::Client::Create(address));
}

Result<void> ClaimService::Recover(const RecoveredClaims& recovered) {
  std::vector<claims::Record> records;
  records.reserve(recovered.records.size());
  for (std::size_t i = 0; i < recovered.records.size(); ++i) {
    auto record = DecodeRecord(recovered.records[i]);
    if (!record) {
      return base::Fail(record.error().code, "the claim record at offset " +
                                                 std::to_string(recovered.offsets[i]) +
                                                 " can't be read: " + record.error().message);
    }
    if (!record.value().answer.empty()) record.value().answer_position = recovered.offsets[i];
    record.value().answer.clear();
    records.push_back(std::move(record.value()));
  }
  store_.Recover(records, base::WallNowMillis());
  return base::Ok();
}

void ClaimService::Store(const claims::Record& record) {
  ++records_stored_;
  if (failure_) return;
  const auto offset = log_.Append(rpc::ToWire(record).SerializeAsString());
  if (!offset) return HandleLogFailure(offset.error());
  if (record.kind == claims::RecordKind::kCompleted && !record.answer.empty()) {
    store_.SetAnswerPosition(record.table, record.key, record.attempt, offset.value());
  }
}

void ClaimService::HandleLogFailure(const base::Error& error) {
  failure_ = error;
  logging::Write(Level::kError, "claim_log_failed",
                 error.message + "; claims are refused until a restart");
}

void ClaimService::ReplyAfterSync(const claims::Mutation& mutation,
                                  std::function<void(Result<void>)> reply) {
  if (mutation.record) Store(*mutation.record);
  pending_replies_.push_back({mutation.sync_before_reply, std::move(reply)});
  if (!flush_scheduled_) flush_scheduled_ = loop_.TryPost([this] { Flush(); });
}

void ClaimService::Flush() {
  flush_scheduled_ = false;
  if (!failure_ && records_stored_ > records_synced_) {
    const auto result = log_.Sync();
    if (result) {
      records_synced_ = records_stored_;
    } else {
      HandleLogFailure(result.error());
    }
  }
  auto replies = std::move(pending_replies_);
  pending_replies_.clear();
  for (auto& pending : replies) {
    if (pending.sync_up_to <= records_synced_) {
      pending.reply(base::Ok());
    } else {
      pending.reply(base::Fail(base::ErrorCode::kIo, "the claim log can't be synced"));
    }
  }
}

bool ClaimService::ReadAnswer(std::uint64_t position, std::string& answer) {
  if (position == claims::kNoPosition) return true;
  const auto record = ReadRecord(position);
  if (record) {
    answer = record.value().answer;
    return true;
  }
  logging::Write(Level::kError, "answer_unreadable", record.error().message,
                 {{"offset", std::to_string(position)}});
  return false;
}

Result<claims::Record> ClaimService::ReadRecord(std::uint64_t position) {
  BOOST_OUTCOME_TRY(bytes, log_.Read(position));
  return DecodeRecord(bytes);
}

void ClaimService::Claim(const rpc::ClaimRequest& request,
                         const rpc::Responder<rpc::ClaimReply>& done) {
  const auto claim = rpc::FromWire(request);
  if (!claim) return done(boost::outcome_v2::failure(claim.error()));
  auto outcome = store_.Claim(claim.value(), base::WallNowMillis());
  // Without the answer the claim only counts as held, so that another replica may still return it.
  if (!ReadAnswer(outcome.reply.answer_position, outcome.reply.answer)) {
    outcome.reply.status = claims::ClaimStatus::kHeld;
  }
  ReplyAfterSync(outcome.mutation,
                 [done, reply = rpc::ToWire(outcome.reply)](const Result<void>& ok) {
                   if (!ok) return done(boost::outcome_v2::failure(ok.error()));
                   done(reply);
                 });
}

void ClaimService::Complete(const rpc::CompleteRequest& request,
                            const rpc::Responder<rpc::Empty>& done) {
  const auto complete = rpc::FromWire(request);
  if (!complete) return done(boost::outcome_v2::failure(complete.error()));
  ReplyAfterSync(store_.Complete(complete.value(), base::WallNowMillis()),
                 [done](const Result<void>& ok) {
                   if (!ok) return done(boost::outcome_v2::failure(ok.error()));
                   done(rpc::Empty());
                 });
}

void ClaimService::Release(const rpc::ReleaseRequest& request,
                           const rpc::Responder<rpc::Empty>& done) {
  const auto release = rpc::FromWire(request);
  if (!release) return done(boost::outcome_v2::failure(release.error()));
  ReplyAfterSync(store_.Release(release.value(), base::WallNowMillis()),
                 [done](const Result<void>& ok) {
                   if (!ok) return done(boost::outcome_v2::failure(ok.error()));
                   done(rpc::Empty());
                 });
}

void ClaimService::Copy(const rpc::CopyRequest& request,
                        const rpc::Responder<rpc::CopyReply>& done) {
  const auto copy = rpc::FromWire(request);
  if (!copy) return done(boost::outcome_v2::failure(copy.error()));
  auto outcome = source_.Handle(copy.value(), store_, base::WallNowMillis());
  for (auto& record : outcome.page.records) {
    if (ReadAnswer(record.answer_position, record.answer)) continue;
    // Without the answer the other replica can only hold the claim. As a completed record, the
    // claim would be lost when that replica rewrites its log.
    record.kind = claims::RecordKind::kClaimed;
    record.answer_kept = false;
  }
  ReplyAfterSync(outcome.mutation,
                 [done, page = rpc::ToWire(outcome.page)](const Result<void>& ok) {
                   if (!ok) return done(boost::outcome_v2::failure(ok.error()));
                   done(page);
                 });
}

void ClaimService::Tick() {
  const auto now = base::MonotonicNow();
  if (now >= expire_at_) {
    store_.Expire(base::WallNowMillis());
    expire_at_ = now + kExpireInterval;
  }
  if (copy_) ContinueCopy();
  Flush();
  CompactWhenDue();
}

// Rewrites the log with only the records that a restart needs, once it is twice as large as after
// the last rewrite. Otherwise records of expired claims, and those that a completion or release
// replaced, would fill the disk.
void ClaimService::CompactWhenDue() {
  if (failure_ || log_.file_bytes() < compact_at_bytes_) return;
  std::set<std::string> live;
  store_.ForEachLive(base::WallNowMillis(),
                     [&](const claims::Record& record) { live.insert(IdentityOf(record)); });
  std::map<std::uint64_t, claims::Record> answers;
  const auto is_live = [&](std::uint64_t offset, std::string_view bytes) {
    const auto record = DecodeRecord(std::string(bytes));
    if (!record) {
      // Kept, as its request could run a second time without it.
      logging::Write(Level::kError, "claim_unreadable", record.error().message,
                     {{"offset", std::to_string(offset)}});
      return true;
    }
    if (!live.contains(IdentityOf(record.value()))) return false;
    if (!record.value().answer.empty()) answers[offset] = record.value();
    return true;
  };
  const auto moved = [&](std::uint64_t from, std::uint64_t to) {
    const auto answer = answers.find(from);
    if (answer == answers.end()) return;
    const auto& record = answer->second;
    store_.SetAnswerPosition(record.table, record.key, record.attempt, to);
  };
  const auto done = log_.Compact(is_live, moved);
  if (!done) HandleLogFailure(done.error());
  compact_at_bytes_ = std::max(options_.claim_log_rewrite_bytes, 2 * log_.file_bytes());
}

void ClaimService::ContinueCopy() {
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    RequestPage(static_cast<claims::ReplicaIndex>(i));
  }
}

void ClaimService::RequestPage(claims::ReplicaIndex source) {
  if (source == store_.identity().index || source >= peers_.size()) return;
  const auto request = copy_->NextRequest(source);
  if (!request) return;
  peers_[source]->Copy(
      rpc::ToWire(*request), kCopyTimeout, [this, source](Result<rpc::CopyReply> reply) {
        loop_.TryPost([this, source, reply = std::move(reply)] { HandlePage(source, reply); });
      });
}

void ClaimService::HandleCopyFailure(claims::ReplicaIndex source, const base::Error& error) {
  if (!failed_sources_.insert(source).second) return;
  logging::Write(Level::kWarning, "claim_copy_failed", error.message,
                 {{"replica", options_.replicas.at(source)}});
}

void ClaimService::HandlePage(claims::ReplicaIndex source, const Result<rpc::CopyReply>& reply) {
  if (!copy_) return;
  if (!reply) return HandleCopyFailure(source, reply.error());
  const auto page = rpc::FromWire(reply.value());
  if (!page) return HandleCopyFailure(source, page.error());
  failed_sources_.erase(source);
  const auto records = copy_->ApplyPage(page.value(), store_, base::WallNowMillis());
  for (const auto& record : records) Store(record);
  Flush();
  if (!copy_->done()) {
    // A source that cannot serve a copy yet is asked again at the next tick. A page requests the
    // next one from the same source only: if each page sent requests to all sources, replicas that
    // all lost their disks would flood each other.
    if (!page.value().restart) RequestPage(page.value().source);
    return;
  }
  copy_.reset();
  events_.Record(base::WallNowMillis(), timeline::EventKind::kReplicaCaughtUp, options_.vm,
                 "claims");
}

}  // namespace wagtailpick::controller
