#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "consensus/core.h"

namespace wagtailpick::consensus {
namespace {

// The replacement of a lost disk must leave at least this many voters, as with one voter the
// committed entries would be on a single disk. An operator can still remove a replica by hand.
constexpr std::size_t kMinVotersLeft = 2;

}  // namespace

// With one change at a time, every quorum before the change overlaps every quorum after it. An
// entry of the leader's own term must be committed first: until then a change that an earlier
// leader left uncommitted could still be committed.
bool Core::CanChangeMembership() const {
  return role_ == Role::kLeader && commit_ >= term_start_index_ &&
         commit_ >= log_.membership_index();
}

base::Result<Position> Core::ProposeChange(const MembershipChange& change,
                                           base::MonotonicTime now) {
  AdvanceClock(now);
  BOOST_OUTCOME_TRY(CheckLeading());
  if (!CanChangeMembership()) {
    return base::Fail(base::ErrorCode::kUnavailable, "an earlier change is not committed yet");
  }
  Membership next = log_.membership();
  const Member* known = next.FindName(change.replica.name);
  if (change.kind == MembershipChange::Kind::kAdd) {
    if (known != nullptr) {
      return base::Fail(base::ErrorCode::kConflict, change.replica.name + " is a member already");
    }
    next.Put({change.replica, MemberRole::kLearner});
    return AppendMembership(next);
  }
  if (known == nullptr) {
    return base::Fail(base::ErrorCode::kNotFound, change.replica.name + " is not a member");
  }
  next.Remove(change.replica.name);
  if (next.voter_count() == 0) {
    return base::Fail(base::ErrorCode::kConflict, change.replica.name + " is the last voter");
  }
  return AppendMembership(next);
}

Position Core::AppendMembership(const Membership& membership) {
  const Position position = AppendAsLeader(EntryKind::kMembership, membership.Encode());
  UpdateProgress();
  return position;
}

// Keeps one `Progress` for each other member. A new incarnation gets a new one.
void Core::UpdateProgress() {
  const Membership& membership = log_.membership();
  std::erase_if(progress_,
                [&membership](const auto& item) { return membership.Find(item.first) == nullptr; });
  for (const Member& member : membership.members()) {
    if (member.key == options_.self) continue;
    progress_.try_emplace(member.key, log_.last_index() + 1, now_);
  }
}

void Core::TickNonVoter() {
  const bool has_leader =
      leader_last_seen_ && now_ - *leader_last_seen_ <= options_.election_timeout_max;
  if (!has_leader) leader_.reset();
  const bool member = log_.membership().Find(options_.self) != nullptr;
  if ((member && has_leader) || now_ < resend_due_) return;
  resend_due_ = now_ + options_.retry_interval;
  SendJoinRequests();
}

void Core::SendJoinRequests() {
  std::set<std::string> names = peers_;
  for (const Member& member : log_.membership().members()) names.insert(member.key.name);
  names.erase(options_.self.name);
  for (const std::string& name : names) Send(MakeMessage(MessageKind::kJoin, {name, 0}));
}

// A member's name with a higher incarnation means that its disk was lost. One change, which affects
// at most one voter, replaces the old incarnation by the new one as a learner.
void Core::OnJoin(const Message& message) {
  if (!CanChangeMembership()) return;
  const Member* known = log_.membership().FindName(message.from.name);
  if (known == nullptr || known->key.incarnation >= message.from.incarnation) return;
  const bool voter = known->role == MemberRole::kVoter;
  if (voter && log_.membership().voter_count() <= kMinVotersLeft) return;
  Membership next = log_.membership();
  next.Put({message.from, MemberRole::kLearner});
  AppendMembership(next);
}

void Core::PromoteIfCaughtUp(const ReplicaKey& key, Progress& progress) {
  const Member* member = log_.membership().Find(key);
  if (member == nullptr || member->role != MemberRole::kLearner) return;
  if (!progress.FinishRound(log_.last_index(), now_, options_.election_timeout_min)) return;
  if (!CanChangeMembership()) return;
  Membership next = log_.membership();
  next.Put({key, MemberRole::kVoter});
  AppendMembership(next);
}

base::Result<void> Core::TakeSnapshot(std::uint64_t index, std::string data) {
  if (index > emitted_ || index <= snapshot_.index) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "snapshot at index " + std::to_string(index) + ", allowed are " +
                          std::to_string(snapshot_.index + 1) + " to " + std::to_string(emitted_));
  }
  snapshot_ = Snapshot{index, log_.TermAt(index).value_or(0), log_.MembershipAt(index),
                       std::make_shared<const std::string>(std::move(data))};
  const std::uint64_t trim =
      index > options_.trailing_entries ? index - options_.trailing_entries : 0;
  tracker_.MarkSnapshot(snapshot_, trim);
  log_.TrimThrough(trim);
  return base::Ok();
}

}  // namespace wagtailpick::consensus
