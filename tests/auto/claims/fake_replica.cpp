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

constexpr std::int64_t kPageRetryMs = 60;

}  // namespace

FakeReplica::FakeReplica(Environment environment, ReplicaIndex index)
    : env_(std::move(environment)),
      identity_{index, 1},
      clock_offset_ms_(env_.random.Between(-40, 40)) {
  Start();
  Persist(store_->MarkReady(), [] {});
}

void FakeReplica::OnClaim(const ClaimRequest& request,
                          const std::function<void(const ClaimReply&)>& reply) {
  if (store_ == nullptr) return;
  ClaimOutcome outcome = store_->Claim(request, wall());
  ClaimReply& answer = outcome.reply;
  if (answer.status == ClaimStatus::kCompleted) {
    answer.answer = disk_[answer.answer_position].answer;
  }
  if (env_.options.disabled == Disabled::kFence) answer.known = {};
  if (answer.status == ClaimStatus::kAccepted) env_.on_claim_accepted(identity_.index);
  Persist(outcome.mutation, [this, answer, reply] { env_.network.Send([=] { reply(answer); }); });
}

void FakeReplica::OnComplete(const CompleteRequest& request) {
  if (store_ != nullptr) Persist(store_->Complete(request, wall()), [] {});
}

void FakeReplica::OnRelease(const ReleaseRequest& request) {
  if (store_ != nullptr) Persist(store_->Release(request, wall()), [] {});
}

void FakeReplica::OnCopyRequest(const CopyRequest& request) {
  if (store_ == nullptr) return;
  CopyOutcome outcome = source_.Handle(request, *store_, wall());
  FillAnswers(outcome.page.records);
  if (env_.options.disabled == Disabled::kSourceIncarnation) {
    outcome.page.known = {};
    outcome.page.known.Raise(request.replica, request.incarnation);
  }
  FakeReplica& requester = env_.replica(request.replica);
  Persist(outcome.mutation, [this, &requester, page = std::move(outcome.page)] {
    env_.copy_network.Send([&requester, page] { requester.OnCopyPage(page); });
  });
}

void FakeReplica::OnCopyPage(const CopyPage& page) {
  if (store_ == nullptr || !copy_) return;
  CopyPage applied = page;
  if (env_.options.disabled == Disabled::kContestedKeys) {
    std::vector<Record> held;
    store_->ForEachLive(wall(), [&](const Record& record) { held.push_back(record); });
    std::erase_if(applied.records, [&](const Record& record) {
      return record.kind == RecordKind::kClaimed &&
             std::any_of(held.begin(), held.end(), [&](const Record& known) {
               return known.kind == RecordKind::kClaimed && known.key == record.key;
             });
    });
  }
  Mutation mutation;
  for (Record& record : copy_->ApplyPage(applied, *store_, wall())) {
    mutation.record = std::move(record);
    Persist(mutation, [] {});
  }
  if (applied.last && !applied.restart && env_.options.disabled == Disabled::kCopyFromEnough &&
      !store_->ready()) {
    Persist(store_->MarkReady(), [] {});
  }
}

void FakeReplica::Crash(std::int64_t down_ms) {
  if (store_ == nullptr) return;
  const std::size_t written = env_.random.Below(unsynced_.size() + 1);
  for (std::size_t i = 0; i < written; ++i) Write(unsynced_[i]);
  Stop(down_ms);
}

void FakeReplica::LoseDisk(std::int64_t down_ms) {
  disk_.clear();
  ++identity_.incarnation;
  ++env_.counts.disks_lost;
  has_complete_disk_ = false;
  Stop(down_ms);
}

void FakeReplica::Stop(std::int64_t down_ms) {
  ++process_number_;
  store_.reset();
  copy_.reset();
  unsynced_.clear();
  waiting_.clear();
  sync_scheduled_ = false;
  env_.queue.After(down_ms, [this, process_number = process_number_] {
    if (process_number == process_number_) Start();
  });
}

void FakeReplica::Start() {
  store_ = std::make_unique<ClaimStore>(SmallLimits(), identity_);
  source_ = CopySource(env_.random.Chance(50) ? 3 : 64);
  synced_ = 0;
  store_->Recover(disk_, wall());
  if (env_.random.Chance(30)) Compact();
  if (store_->ready() || (identity_.incarnation == 1 && disk_.empty())) {
    if (!store_->ready()) Persist(store_->MarkReady(), [] {});
    return;
  }
  if (env_.options.disabled == Disabled::kCopyBeforeAccept) Persist(store_->MarkReady(), [] {});
  copy_.emplace(env_.options.replicas, identity_, static_cast<std::uint64_t>(env_.queue.now()));
  RequestPages(process_number_);
}

void FakeReplica::Compact() {
  std::vector<Record> live;
  store_->ForEachLive(wall(), [&](const Record& record) { live.push_back(record); });
  FillAnswers(live);
  disk_.clear();
  for (const Record& record : live) Write(record);
}

void FakeReplica::RequestPages(std::uint64_t process_number) {
  if (process_number != process_number_ || !copy_ || copy_->done()) return;
  const auto count = static_cast<ReplicaIndex>(env_.options.replicas);
  for (ReplicaIndex index = 0; index < count; ++index) {
    const std::optional<CopyRequest> request = copy_->NextRequest(index);
    if (!request) continue;
    env_.copy_network.Send([this, index, request] { env_.replica(index).OnCopyRequest(*request); });
  }
  env_.queue.After(kPageRetryMs, [this, process_number] { RequestPages(process_number); });
}

void FakeReplica::Persist(const Mutation& mutation, const std::function<void()>& send) {
  if (mutation.record) unsynced_.push_back(*mutation.record);
  const bool is_synced = mutation.sync_before_reply <= synced_;
  if (is_synced || env_.options.disabled == Disabled::kSyncBeforeReply) {
    send();
  } else {
    waiting_.push_back({mutation.sync_before_reply, send});
  }
  if (unsynced_.empty() || sync_scheduled_) return;
  sync_scheduled_ = true;
  env_.queue.After(env_.random.Between(1, 12),
                   [this, process_number = process_number_] { Sync(process_number); });
}

void FakeReplica::Sync(std::uint64_t process_number) {
  if (process_number != process_number_) return;
  sync_scheduled_ = false;
  for (const Record& record : unsynced_) {
    Write(record);
    ++synced_;
    if (record.kind == RecordKind::kReady && !has_complete_disk_) {
      has_complete_disk_ = true;
      ++env_.counts.copies_done;
      env_.on_disk_repaired();
    }
  }
  unsynced_.clear();
  std::vector<Waiting> still_waiting;
  for (Waiting& waiting : std::exchange(waiting_, {})) {
    if (waiting.sync_before <= synced_) {
      waiting.send();
    } else {
      still_waiting.push_back(std::move(waiting));
    }
  }
  waiting_ = std::move(still_waiting);
}

void FakeReplica::Write(const Record& record) {
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
