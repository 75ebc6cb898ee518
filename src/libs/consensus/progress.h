#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "base/monotonic_time.h"
#include "consensus/snapshot.h"

namespace wagtailpick::consensus {

enum class ProgressState {
  /// Where the follower's log ends is unknown: one message at a time.
  kProbe,
  /// Messages follow each other without waiting for answers.
  kReplicate,
  /// The follower needs entries that are no longer in the log.
  kSnapshot,
};

/// What a leader knows about one other member's log.
class Progress {
 public:
  /// Sending starts at `next`; catching up is measured from `now`.
  Progress(std::uint64_t next, base::MonotonicTime now);

  ProgressState state() const { return state_; }
  /// Highest index known to be on the member's disk.
  std::uint64_t match() const { return match_; }
  /// Next index to send.
  std::uint64_t next() const { return next_; }
  /// When the newest message was sent that the member has answered in this term.
  base::MonotonicTime answered_sent_at() const { return answered_sent_at_; }
  void NoteAnswer(base::MonotonicTime sent_at);

  bool CanSend(std::size_t max_inflight) const;
  /// Notes a message with entries up to `last`; `last` below `next()` is a probe without entries.
  void NoteSent(std::uint64_t last);
  /// Lets a probe be sent again, as the last one may be lost.
  void AllowProbe() { probe_sent_ = false; }

  /// The member has the entries up to `match`; `prev` is the position that the message followed.
  void Accept(std::uint64_t prev, std::uint64_t match);
  /// The member lacks the entry at `prev`; `hint` is where its log may match. Ignores answers that
  /// are older than what is known.
  void Reject(std::uint64_t prev, std::uint64_t hint);

  void BecomeSnapshot(Snapshot snapshot);
  const Snapshot& snapshot() const { return snapshot_; }
  std::uint64_t snapshot_offset() const { return snapshot_offset_; }
  /// The member has `offset` bytes of the snapshot that is being sent.
  void NoteSnapshotOffset(std::uint64_t index, std::uint64_t offset);
  /// Whether the next part may be sent: it never was, or `retry` has passed without an answer.
  bool SnapshotDue(base::MonotonicTime now, base::Duration retry) const;
  void NoteSnapshotSent(base::MonotonicTime now);

  /// Measures rounds of catching up: a round ends when the member has all that the log held when
  /// the round began. Returns whether a round ended within `limit`.
  bool FinishRound(std::uint64_t last_index, base::MonotonicTime now, base::Duration limit);

 private:
  void BecomeProbe();

  ProgressState state_ = ProgressState::kProbe;
  std::uint64_t match_ = 0;
  std::uint64_t next_;
  base::MonotonicTime answered_sent_at_ = base::MonotonicTime::min();
  bool probe_sent_ = false;
  /// Last index of each unanswered message.
  std::deque<std::uint64_t> inflight_;
  Snapshot snapshot_;
  std::uint64_t snapshot_offset_ = 0;
  bool snapshot_sent_ = false;
  base::MonotonicTime snapshot_sent_at_;
  std::uint64_t round_target_;
  base::MonotonicTime round_start_;
};

}  // namespace wagtailpick::consensus
