#include "claims/claim_store.h"

#include <algorithm>
#include <utility>

#include "base/saturated_sum.h"

namespace wagtailpick::claims {
namespace {

ClaimStatus StatusOf(const HeldClaim& claim) {
  switch (claim.state) {
    case ClaimState::kAnswerStored:
      return ClaimStatus::kCompleted;
    case ClaimState::kAnswerNotKept:
      return ClaimStatus::kAnswerNotKept;
    case ClaimState::kClaimed:
    case ClaimState::kAnswerPending:
      break;
  }
  return ClaimStatus::kHeld;
}

void SetHolder(const HeldClaim& claim, ClaimReply& reply) {
  reply.status = StatusOf(claim);
  reply.holder = claim.attempt;
  reply.holder_body = claim.body;
  reply.holder_deadline = claim.deadline();
  reply.answer_position = claim.answer_position;
}

}  // namespace

ClaimStore::ClaimStore(const StoreLimits& limits, const ReplicaIdentity& identity)
    : limits_(limits),
      identity_(identity),
      requests_(Table::kRequests, limits.max_keys, limits.retention_ms),
      trials_(Table::kTrials, limits.max_trials, limits.trial_retention_ms),
      tombstones_(limits.max_tombstones, limits.tombstone_ms) {
  known_.Raise(identity.index, identity.incarnation);
}

void ClaimStore::Recover(const std::vector<Record>& records, WallMillis now) {
  now = Advance(now);
  for (const Record& record : records) Apply(record, now);
  Expire(now);
}

ClaimOutcome ClaimStore::Claim(const ClaimRequest& request, WallMillis now) {
  now = Advance(now);
  ClaimOutcome outcome;
  ClaimReply& reply = outcome.reply;
  reply.replica = identity_.index;
  reply.incarnation = identity_.incarnation;
  reply.known = known_;
  reply.attempt = request.attempt;
  const HeldClaim* held = TableOf(request.table).Find(request.key, request.attempt, now);
  if (held != nullptr) SetHolder(*held, reply);
  const bool held_by_other = held != nullptr && held->attempt != request.attempt;
  if (held_by_other || (held != nullptr && held->ran())) return outcome;
  reply.status = CheckClaim(request, now);
  if (reply.status != ClaimStatus::kAccepted) return outcome;
  if (held != nullptr) {
    // This is a repeated message. The record for the first one may not have been synced yet.
    outcome.mutation.sync_before_reply = emitted_records_;
  } else if (!TableOf(request.table).HasRoom(now)) {
    reply.status = ClaimStatus::kFull;
  } else {
    outcome.mutation = AddClaim(request, now);
  }
  return outcome;
}

ClaimStatus ClaimStore::CheckClaim(const ClaimRequest& request, WallMillis now) const {
  if (!ready_) return ClaimStatus::kCopying;
  if (tombstones_.Contains(request.attempt)) return ClaimStatus::kReleased;
  if (tombstones_.IsRefused(request.key, request.started_at)) return ClaimStatus::kReleased;
  if (base::SaturatedSum(request.deadline, kMaxClockSkewMs) < now) return ClaimStatus::kExpired;
  return ClaimStatus::kAccepted;
}

Mutation ClaimStore::AddClaim(const ClaimRequest& request, WallMillis now) {
  Record record;
  record.table = request.table;
  record.key = request.key;
  record.body = request.body;
  record.attempt = request.attempt;
  record.claimed_at = now;
  record.deadline = request.deadline;
  Apply(record, now);
  return EmitRecord(std::move(record));
}

Mutation ClaimStore::Complete(const CompleteRequest& request, WallMillis now) {
  now = Advance(now);
  ClaimTable& table = TableOf(request.table);
  const HeldClaim* held = table.Find(request.key, request.attempt, now);
  if (held != nullptr && held->ran()) {
    return {.record = std::nullopt,
            .sync_before_reply = emitted_records_,
            .applied = held->attempt == request.attempt};
  }
  if (held == nullptr && !table.HasRoom(now)) return {};
  Record record;
  record.kind = RecordKind::kCompleted;
  record.table = request.table;
  record.key = request.key;
  record.body = request.body;
  record.attempt = request.attempt;
  record.claimed_at = held != nullptr ? held->claimed_at : now;
  record.deadline = request.deadline;
  record.answer_kept = request.answer.size() <= limits_.max_answer_bytes;
  Apply(record, now);
  if (record.answer_kept) record.answer = request.answer;
  return EmitRecord(std::move(record));
}

Mutation ClaimStore::Release(const ReleaseRequest& request, WallMillis now) {
  now = Advance(now);
  if (tombstones_.Contains(request.attempt)) {
    return {.record = std::nullopt, .sync_before_reply = emitted_records_, .applied = true};
  }
  // Without a tombstone a late claim of this attempt could take the freed key, so it stays held.
  if (!tombstones_.HasRoom(now)) return {};
  Record record;
  record.kind = RecordKind::kReleased;
  record.table = request.table;
  record.key = request.key;
  record.attempt = request.attempt;
  record.claimed_at = now;
  record.refused_at = request.refused_at;
  Apply(record, now);
  return EmitRecord(std::move(record));
}

void ClaimStore::SetAnswerPosition(Table table, const KeyDigest& key, const AttemptId& attempt,
                                   std::uint64_t position) {
  TableOf(table).SetAnswerPosition(key, attempt, position);
}

Mutation ClaimStore::Fence(ReplicaIndex replica, Incarnation incarnation) {
  if (replica >= kMaxReplicas || known_.of(replica) >= incarnation) {
    return {.record = std::nullopt, .sync_before_reply = emitted_records_, .applied = true};
  }
  known_.Raise(replica, incarnation);
  Record record;
  record.kind = RecordKind::kFence;
  record.replica = replica;
  record.incarnation = incarnation;
  return EmitRecord(std::move(record));
}

Mutation ClaimStore::ApplyCopied(Record record, WallMillis now) {
  now = Advance(now);
  // A claim isn't made later than it is copied. A time far in the future would keep its record, and
  // all tombstones after it, for as long.
  record.claimed_at = std::clamp<WallMillis>(record.claimed_at, 0, now);
  // The position refers to the disk of the source.
  record.answer_position = kNoPosition;
  if (!Apply(record, now)) return {};
  return EmitRecord(std::move(record));
}

Mutation ClaimStore::MarkReady() {
  ready_ = true;
  Record record;
  record.kind = RecordKind::kReady;
  record.replica = identity_.index;
  record.incarnation = identity_.incarnation;
  return EmitRecord(std::move(record));
}

void ClaimStore::ForEachLive(WallMillis now,
                             const std::function<void(const Record&)>& visit) const {
  std::vector<Record> records;
  for (const Table table : {Table::kRequests, Table::kTrials}) {
    TableOf(table).ForEachKey([&](const KeyDigest& key) {
      records.clear();
      AppendRecords(table, key, now, records);
      for (const Record& record : records) visit(record);
    });
  }
  records.clear();
  AppendTombstones(now, records);
  for (const Record& record : records) visit(record);
  for (ReplicaIndex replica = 0; replica < kMaxReplicas; ++replica) {
    if (known_.of(replica) == 0) continue;
    Record fence;
    fence.kind = RecordKind::kFence;
    fence.replica = replica;
    fence.incarnation = known_.of(replica);
    visit(fence);
  }
  if (!ready_) return;
  Record ready;
  ready.kind = RecordKind::kReady;
  ready.replica = identity_.index;
  ready.incarnation = identity_.incarnation;
  visit(ready);
}

void ClaimStore::Expire(WallMillis now) {
  now = Advance(now);
  requests_.ExpireAll(now);
  trials_.ExpireAll(now);
  tombstones_.Expire(now);
}

std::vector<KeyDigest> ClaimStore::keys(Table table) const { return TableOf(table).keys(); }

void ClaimStore::AppendRecords(Table table, const KeyDigest& key, WallMillis now,
                               std::vector<Record>& out) const {
  TableOf(table).AppendRecords(key, now, out);
}

void ClaimStore::AppendTombstones(WallMillis now, std::vector<Record>& out) const {
  tombstones_.AppendRecords(now, out);
}

std::size_t ClaimStore::size(Table table) const { return TableOf(table).size(); }

bool ClaimStore::Apply(const Record& record, WallMillis now) {
  switch (record.kind) {
    case RecordKind::kClaimed:
      if (tombstones_.Contains(record.attempt)) return false;
      TableOf(record.table).Add(record);
      return true;
    case RecordKind::kCompleted:
      TableOf(record.table).Add(record);
      return true;
    case RecordKind::kReleased: {
      const bool freed = TableOf(record.table).Remove(record.key, record.attempt);
      const bool is_new = !tombstones_.Contains(record.attempt);
      tombstones_.Add(record, now);
      return freed || is_new;
    }
    case RecordKind::kFence:
      if (known_.of(record.replica) >= record.incarnation) return false;
      known_.Raise(record.replica, record.incarnation);
      return true;
    case RecordKind::kReady:
      ready_ = ready_ || record.incarnation == identity_.incarnation;
      return true;
  }
  return false;
}

Mutation ClaimStore::EmitRecord(Record record) {
  ++emitted_records_;
  return {.record = std::move(record), .sync_before_reply = emitted_records_, .applied = true};
}

WallMillis ClaimStore::Advance(WallMillis now) {
  // A wall clock that steps back must not make expired claims valid again.
  now_ = std::max(now_, now);
  return now_;
}

}  // namespace wagtailpick::claims
