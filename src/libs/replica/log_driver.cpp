#include "replica/log_driver.h"

#include <random>
#include <utility>

#include "logging/log.h"

namespace wagtailpick::replica {
namespace {

/// Applied entries between two snapshots. Limits the size of the log on disk and the entries that a
/// restart replays.
constexpr std::uint64_t kSnapshotInterval = 2'000;

auto OutcomeUnknownError() {
  return base::Fail(base::ErrorCode::kUnavailable,
                    "this replica is no longer the leader; the outcome is unknown");
}

}  // namespace

consensus::Options LogDriver::DefaultOptions() {
  consensus::Options options;
  options.random = [engine = std::make_shared<std::mt19937_64>(std::random_device()())] {
    return (*engine)();
  };
  return options;
}

base::Result<std::unique_ptr<LogDriver>> LogDriver::Create(const std::string& self,
                                                           consensus::Options options,
                                                           ReplicaDisk disk, Hooks hooks) {
  options.self = {self, disk.incarnation()};
  BOOST_OUTCOME_TRY(replica,
                    consensus::Replica::Create(std::move(options), disk.ConsumeRecoveredState(),
                                               base::MonotonicNow()));
  std::unique_ptr<LogDriver> driver(
      new LogDriver(std::move(disk), std::move(hooks), std::move(replica)));
  driver->Flush();
  return driver;
}

LogDriver::LogDriver(ReplicaDisk disk, Hooks hooks, consensus::Replica replica)
    : hooks_(std::move(hooks)),
      replica_(std::move(replica)),
      writer_(std::move(disk), [this] { Defer(); }) {}

void LogDriver::Propose(std::string data, ProposalCallback done) {
  const auto position = replica_.Propose(std::move(data), base::MonotonicNow());
  if (!position) return done(boost::outcome_v2::failure(position.error()));
  pending_[position.value().index] = {position.value().term, std::move(done)};
  ScheduleFlush();
}

base::Result<void> LogDriver::ProposeChange(const consensus::MembershipChange& change) {
  BOOST_OUTCOME_TRY(replica_.ProposeChange(change, base::MonotonicNow()));
  ScheduleFlush();
  return base::Ok();
}

void LogDriver::Step(const std::vector<consensus::Message>& messages) {
  const auto now = base::MonotonicNow();
  for (const auto& message : messages) replica_.Step(message, now);
  ScheduleFlush();
}

void LogDriver::Tick() {
  replica_.Tick(base::MonotonicNow());
  Flush();
}

bool LogDriver::HasLease() const { return replica_.HasLease(base::MonotonicNow()); }

bool LogDriver::LedSince(base::MonotonicTime since) const {
  return replica_.LedSince(since, base::MonotonicNow());
}

std::string LogDriver::leader() const {
  const auto hint = replica_.LeaderHint();
  return hint ? hint->name : std::string();
}

// Deferred, so that inputs which are queued already are handled before the flush and share its
// sync.
void LogDriver::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = Defer();
}

bool LogDriver::Defer() {
  return hooks_.defer([this, alive = alive_] {
    if (*alive) Flush();
  });
}

void LogDriver::Flush() {
  flush_scheduled_ = false;
  HandleWriteResult();
  consensus::Output output = replica_.ConsumeOutput(!writer_.busy());
  Send(output.messages);
  Apply(output);
  if (replica_.fault()) return FailPending();
  if (!output.sync.empty()) writer_.Start(std::move(output.sync));
  TakeSnapshotWhenDue();
  if (replica_.role() != consensus::Role::kLeader) FailPending();
}

void LogDriver::HandleWriteResult() {
  const auto written = writer_.ConsumeResult();
  if (!written) return;
  if (written->result) return replica_.Synced(written->batch, base::MonotonicNow());
  logging::Write(logging::Level::kError, "disk_failed", written->result.error().message);
  replica_.SyncFailed();
}

void LogDriver::Send(const std::vector<consensus::Message>& messages) {
  std::map<std::string, std::vector<consensus::Message>> batches;
  for (const auto& message : messages) batches[message.to.name].push_back(message);
  for (const auto& [name, batch] : batches) hooks_.send(name, batch);
}

void LogDriver::Apply(const consensus::Output& output) {
  if (output.restore && output.restore->data != nullptr) {
    hooks_.restore(*output.restore->data);
    if (replica_.fault()) return;
    applied_ = output.restore->index;
  }
  for (const auto& entry : output.committed) {
    const bool has_data = entry.kind == consensus::EntryKind::kData;
    if (has_data) hooks_.apply(entry.index, entry.data);
    if (entry.kind == consensus::EntryKind::kMembership) HandleMembershipEntry(entry.data);
    applied_ = entry.index;
    CompletePending(entry);
  }
}

void LogDriver::HandleMembershipEntry(const std::string& data) {
  const auto members = consensus::Membership::Parse(data);
  if (members) hooks_.members(members.value());
}

void LogDriver::CompletePending(const consensus::Entry& entry) {
  const auto found = pending_.find(entry.index);
  if (found == pending_.end()) return;
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  if (pending.term == entry.term) {
    pending.done(base::Ok());
  } else {
    pending.done(OutcomeUnknownError());
  }
}

void LogDriver::FailPending() {
  auto pending = std::move(pending_);
  pending_.clear();
  for (auto& [index, waiting] : pending) waiting.done(OutcomeUnknownError());
}

void LogDriver::TakeSnapshotWhenDue() {
  if (applied_ < replica_.snapshot_index() + kSnapshotInterval) return;
  const auto taken = replica_.TakeSnapshot(applied_, hooks_.snapshot());
  if (!taken) logging::Write(logging::Level::kError, "snapshot_failed", taken.error().message);
}

}  // namespace wagtailpick::replica
