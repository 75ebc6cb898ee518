#include <algorithm>
#include <string>
#include <utility>

#include "consensus/core.h"

namespace wagtailpick::consensus {

// Returns false, and stops this replica, when the message's term already has another leader. Two
// leaders in one term mean that a stored vote was lost; continuing could commit two histories.
bool Core::FollowLeader(const Message& message) {
  if (role_ == Role::kLeader || (leader_ && *leader_ != message.from)) {
    Stop(base::ErrorCode::kCorrupt, "two leaders in term " + std::to_string(message.term) + ": " +
                                        leader_->name + " and " + message.from.name);
    return false;
  }
  role_ = Role::kFollower;
  leader_ = message.from;
  leader_last_seen_ = now_;
  votes_.clear();
  ResetElectionTimer();
  return true;
}

// Whether the log matches the leader's at the position before the message's entries. Committed
// entries are the same on the leader, so any position up to the commit index matches.
bool Core::Matches(const Message& message) const {
  return message.log_index <= commit_ || log_.TermAt(message.log_index) == message.log_term;
}

// Returns the index that the leader should try after a mismatch at `index`. It skips all entries of
// the mismatching term, so that they are not tried one by one.
std::uint64_t Core::MatchHint(std::uint64_t index) const {
  if (index > log_.last_index()) return log_.last_index();
  return std::max(commit_, log_.FirstIndexOfTerm(index) - 1);
}

// Returns false, and stops this replica, when a committed entry would have to change.
bool Core::Store(const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    const auto term = log_.TermAt(entry.index);
    if (term == entry.term || entry.index <= log_.base_index()) continue;
    if (entry.index <= commit_) {
      Stop(base::ErrorCode::kCorrupt,
           "leader's log differs at committed index " + std::to_string(entry.index));
      return false;
    }
    log_.TruncateFrom(entry.index);
    const auto appended = log_.Append(entry);
    if (!appended) {
      Stop(appended.error().code, appended.error().message);
      return false;
    }
    tracker_.MarkEntriesFrom(entry.index);
  }
  return true;
}

void Core::OnAppend(const Message& message) {
  if (!FollowLeader(message)) return;
  Message reply = MakeMessage(MessageKind::kAppendReply, message.from);
  reply.sent_at = message.sent_at;
  reply.log_index = message.log_index;
  if (!Matches(message)) {
    reply.match = MatchHint(message.log_index);
    return Send(std::move(reply));
  }
  const bool has_nothing_new =
      message.entries.empty() ||
      log_.TermAt(message.entries.back().index) == message.entries.back().term;
  if (!Store(message.entries)) return;
  reply.accepted = true;
  reply.match = message.log_index + message.entries.size();
  commit_ = std::max(commit_, std::min(message.commit, reply.match));
  // A message without new entries is answered immediately, with what is on disk. If the answer
  // waited for a sync, the leader would count this replica as lost while its disk is slow.
  if (has_nothing_new) reply.match = std::min(reply.match, tracker_.synced_index());
  const std::uint64_t match = reply.match;
  SendOnceSynced(std::move(reply), match);
}

void Core::OnSnapshot(const Message& message) {
  if (!FollowLeader(message)) return;
  const SnapshotChunk& chunk = message.chunk;
  if (chunk.index > commit_) {
    auto snapshot = assembly_.Add(message.from, message.term, chunk);
    if (!snapshot) return Stop(snapshot.error().code, snapshot.error().message);
    if (snapshot.value()) Install(std::move(*snapshot.value()));
    if (fault_) return;
  }
  const bool installed = chunk.index <= commit_;
  Message reply = MakeMessage(installed ? MessageKind::kAppendReply : MessageKind::kSnapshotReply,
                              message.from);
  reply.sent_at = message.sent_at;
  reply.accepted = true;
  if (installed) {
    reply.log_index = reply.match = chunk.index;
    return SendOnceSynced(std::move(reply), chunk.index);
  }
  reply.chunk.index = chunk.index;
  reply.chunk.offset = assembly_.offset(chunk.index);
  Send(std::move(reply));
}

// Stops this replica when its owner can't read the snapshot. Stored or acknowledged, the snapshot
// would replace the state of this replica by one that no restart can read.
void Core::Install(Snapshot snapshot) {
  // The log already holds the entries that the snapshot covers.
  const bool is_covered = log_.TermAt(snapshot.index) == snapshot.term;
  if (!is_covered && options_.check_snapshot) {
    const auto readable = options_.check_snapshot(*snapshot.data);
    if (!readable) return Stop(readable.error().code, readable.error().message);
  }
  commit_ = snapshot.index;
  if (is_covered) return;
  log_ = Log(snapshot);
  snapshot_ = snapshot;
  restore_pending_ = true;
  tracker_.MarkInstalledSnapshot(std::move(snapshot));
}

}  // namespace wagtailpick::consensus
