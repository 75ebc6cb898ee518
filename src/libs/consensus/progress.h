#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "base/monotonic_time.h"
#include "consensus/snapshot.h"

namespace wagtailpick::consensus {

enum class ProgressState {
  /// It is unknown up to where the follower's log matches, so one message is sent at a time.
  kProbe,
  /// Messages are sent without waiting for the answers to earlier ones.
  kReplicate,
  /// The follower needs entries that are no longer in the log, so it is sent a snapshot.
  kSnapshot,
};

/// A leader's view of the log of one other member.
class Progress {
 public:
  /// Sending starts at index `next`; the first catch-up round starts at `now`.
  Progress(std::uint64_t next, base::MonotonicTime now);

  ProgressState state() const { return state_; }
  /// Highest index known to be on the member's disk.
  std::uint64_t match() const { return match_; }
  /// Next index to send.
  std::uint64_t next() const { return next_; }
  /// When the newest message that the member answered in this term was sent; the minimum time when
  /// it answered none.
  base::MonotonicTime answered_sent_at() const { return answered_sent_at_; }
  void RecordAnswer(base::MonotonicTime sent_at);

  bool CanSend(std::size_t max_inflight) const;
  /// Records a sent message with entries up to `last`, or without entries if `last` is below
  /// `next()`.
  void RecordSent(std::uint64_t last);
  /// Allows another probe to be sent, as the last one may be lost.
  void AllowProbe() { probe_sent_ = false; }

  /// Applies an answer that the member has the entries up to `match`. `prev` is the index before
  /// the answered message's entries.
  void Accept(std::uint64_t prev, std::uint64_t match);
  /// Applies an answer that the member lacks the entry at `prev`. `hint` is the index at which its
  /// log may match. Outdated answers are ignored.
  void Reject(std::uint64_t prev, std::uint64_t hint);

  /// Starts sending `snapshot` from its first byte.
  void BecomeSnapshot(Snapshot snapshot);
  const Snapshot& snapshot() const { return snapshot_; }
  std::uint64_t snapshot_offset() const { return snapshot_offset_; }
  /// Records that the member has `offset` bytes of the snapshot at `index`; ignored unless that
  /// snapshot is being sent.
  void RecordSnapshotOffset(std::uint64_t index, std::uint64_t offset);
  /// Whether to send the next part: it was not sent yet, or was not answered for `retry`.
  bool IsSnapshotDue(base::MonotonicTime now, base::Duration retry) const;
  void RecordSnapshotSent(base::MonotonicTime now);

  /// Ends the current catch-up round if the member has all entries that the log held when the round
  /// began, and starts the next one. Returns whether a round ended and took at most `limit`.
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
