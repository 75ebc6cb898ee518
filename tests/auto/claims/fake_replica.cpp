#include "fake_replica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailpick::claims {
namespace {

StoreLimits SmallLimits() {
  StoreLimits limits;
  limits.max_keys = 64;
  limits.max_trials = 4;
  limits.max_tombstones = 64;
  limits.max_answer_bytes = 64;
  return limits;
}

constexpr std::int64_t kAskAgainMs = 60;

}  // namespace

FakeReplica::FakeReplica(Surroundings surroundings, ReplicaIndex index)
    : s_(std::move(surroundings)), identity_{index, 1}, clock_offset_ms_(s_.dice.Between(-40, 40)) {
  Start();
  Keep(store_->MarkReady(), [] {});
}

void FakeReplica::OnClaim(const ClaimRequest& request,
                          const std::function<void(const ClaimReply&)>& reply) {
  if (store_ == nullptr) return;
  ClaimOutcome outcome = store_->Claim(request, wall());
  ClaimReply& answer = outcome.reply;
  if (answer.status == ClaimStatus::kCompleted) {
    answer.answer = disk_[answer.answer_position].answer;
  }
  if (s_.options.disabled == Disabled::kFence) answer.known = {};
  if (answer.status == ClaimStatus::kAccepted) s_.on_accepted(identity_.index);
  Keep(outcome.mutation, [this, answer, reply] { s_.network.Send([=] { reply(answer); }); });
}

void FakeReplica::OnComplete(const CompleteRequest& request) {
  if (store_ != nullptr) Keep(store_->Complete(request, wall()), [] {});
}

void FakeReplica::OnRelease(const ReleaseRequest& request) {
  if (store_ != nullptr) Keep(store_->Release(request, wall()), [] {});
}

void FakeReplica::OnCopyRequest(const CopyRequest& request) {
  if (store_ == nullptr) return;
  CopyOutcome outcome = source_.Handle(request, *store_, wall());
  FillAnswers(outcome.page.records);
  if (s_.options.disabled == Disabled::kSourceIncarnation) {
    outcome.page.known = {};
    outcome.page.known.Raise(request.replica, request.incarnation);
  }
  FakeReplica& asking = s_.replica(request.replica);
  Keep(outcome.mutation, [this, &asking, page = std::move(outcome.page)] {
    s_.copy_network.Send([&asking, page] { asking.OnCopyPage(page); });
  });
}

void FakeReplica::OnCopyPage(const CopyPage& page) {
  if (store_ == nullptr || !copy_) return;
  CopyPage taken = page;
  if (s_.options.disabled == Disabled::kContestedKeys) {
    std::vector<Record> held;
    store_->ForEachLive(wall(), [&](const Record& record) { held.push_back(record); });
    std::erase_if(taken.records, [&](const Record& record) {
      return record.kind == RecordKind::kClaimed &&
             std::any_of(held.begin(), held.end(), [&](const Record& known) {
               return known.kind == RecordKind::kClaimed && known.key == record.key;
             });
    });
  }
  Mutation mutation;
  for (Record& record : copy_->ApplyPage(taken, *store_, wall())) {
    mutation.record = std::move(record);
    Keep(mutation, [] {});
  }
  if (taken.last && !taken.restart && s_.options.disabled == Disabled::kCopyFromEnough &&
      !store_->ready()) {
    Keep(store_->MarkReady(), [] {});
  }
}

void FakeReplica::Crash(std::int64_t down_ms) {
  if (store_ == nullptr) return;
  const std::size_t written = s_.dice.Below(unsynced_.size() + 1);
  for (std::size_t i = 0; i < written; ++i) WriteOne(unsynced_[i]);
  Stop(down_ms);
}

void FakeReplica::LoseDisk(std::int64_t down_ms) {
  disk_.clear();
  ++identity_.incarnation;
  ++s_.counts.disks_lost;
  has_whole_disk_ = false;
  Stop(down_ms);
}

void FakeReplica::Stop(std::int64_t down_ms) {
  ++life_;
  store_.reset();
  copy_.reset();
  unsynced_.clear();
  waiting_.clear();
  sync_due_ = false;
  s_.queue.After(down_ms, [this, life = life_] {
    if (life == life_) Start();
  });
}

void FakeReplica::Start() {
  store_ = std::make_unique<ClaimStore>(SmallLimits(), identity_);
  source_ = CopySource(s_.dice.Chance(50) ? 3 : 64);
  synced_ = 0;
  store_->Recover(disk_, wall());
  if (s_.dice.Chance(30)) Compact();
  if (store_->ready() || (identity_.incarnation == 1 && disk_.empty())) {
    if (!store_->ready()) Keep(store_->MarkReady(), [] {});
    return;
  }
  if (s_.options.disabled == Disabled::kCopyBeforeAccept) Keep(store_->MarkReady(), [] {});
  copy_.emplace(s_.options.replicas, identity_, static_cast<std::uint64_t>(s_.queue.now()));
  AskForPages(life_);
}

void FakeReplica::Compact() {
  std::vector<Record> live;
  store_->ForEachLive(wall(), [&](const Record& record) { live.push_back(record); });
  FillAnswers(live);
  disk_.clear();
  for (const Record& record : live) WriteOne(record);
}

void FakeReplica::AskForPages(std::uint64_t life) {
  if (life != life_ || !copy_ || copy_->done()) return;
  const auto count = static_cast<ReplicaIndex>(s_.options.replicas);
  for (ReplicaIndex index = 0; index < count; ++index) {
    const std::optional<CopyRequest> request = copy_->NextRequest(index);
    if (!request) continue;
    s_.copy_network.Send([this, index, request] { s_.replica(index).OnCopyRequest(*request); });
  }
  s_.queue.After(kAskAgainMs, [this, life] { AskForPages(life); });
}

void FakeReplica::Keep(const Mutation& mutation, const std::function<void()>& send) {
  if (mutation.record) unsynced_.push_back(*mutation.record);
  const bool is_synced = mutation.sync_before_reply <= synced_;
  if (is_synced || s_.options.disabled == Disabled::kSyncBeforeReply) {
    send();
  } else {
    waiting_.push_back({mutation.sync_before_reply, send});
  }
  if (unsynced_.empty() || sync_due_) return;
  sync_due_ = true;
  s_.queue.After(s_.dice.Between(1, 12), [this, life = life_] { Sync(life); });
}

void FakeReplica::Sync(std::uint64_t life) {
  if (life != life_) return;
  sync_due_ = false;
  for (const Record& record : unsynced_) {
    WriteOne(record);
    ++synced_;
    if (record.kind == RecordKind::kReady && !has_whole_disk_) {
      has_whole_disk_ = true;
      ++s_.counts.copies_done;
      s_.on_repaired();
    }
  }
  unsynced_.clear();
  std::vector<Waiting> still_waiting;
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    if (waiting.needs <= synced_) {
      waiting.send();
    } else {
      still_waiting.push_back(std::move(waiting));
    }
  }
  waiting_ = std::move(still_waiting);
}

void FakeReplica::WriteOne(const Record& record) {
  disk_.push_back(record);
  if (record.kind != RecordKind::kCompleted || !record.answer_kept) return;
  disk_.back().answer_position = disk_.size() - 1;
  store_->SetAnswerPosition(record.table, record.key, record.attempt, disk_.size() - 1);
}

void FakeReplica::FillAnswers(std::vector<Record>& records) const {
  for (Record& record : records) {
    if (record.answer_position != kNoPosition) record.answer = disk_[record.answer_position].answer;
  }
}

}  // namespace wagtailpick::claims
