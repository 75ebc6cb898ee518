#include "consensus/progress.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::consensus {

Progress::Progress(std::uint64_t next, base::MonotonicTime now)
    : next_(next), snapshot_sent_at_(now), round_target_(next - 1), round_start_(now) {}

void Progress::RecordAnswer(base::MonotonicTime sent_at) {
  answered_sent_at_ = std::max(answered_sent_at_, sent_at);
}

bool Progress::CanSend(std::size_t max_inflight) const {
  switch (state_) {
    case ProgressState::kProbe:
      return !probe_sent_;
    case ProgressState::kReplicate:
      return inflight_.size() < max_inflight;
    case ProgressState::kSnapshot:
      return false;
  }
  return false;
}

void Progress::RecordSent(std::uint64_t last) {
  if (state_ == ProgressState::kProbe) {
    probe_sent_ = true;
  } else if (last >= next_) {
    next_ = last + 1;
    inflight_.push_back(last);
  }
}

void Progress::Accept(std::uint64_t prev, std::uint64_t match) {
  match_ = std::max(match_, match);
  const bool found = state_ == ProgressState::kProbe && prev + 1 >= next_;
  const bool installed = state_ == ProgressState::kSnapshot && match_ >= snapshot_.index;
  if (found || installed) {
    state_ = ProgressState::kReplicate;
    next_ = match_ + 1;
    snapshot_ = Snapshot{};
  }
  next_ = std::max(next_, match_ + 1);
  while (!inflight_.empty() && inflight_.front() <= match_) inflight_.pop_front();
}

void Progress::Reject(std::uint64_t prev, std::uint64_t hint) {
  if (state_ == ProgressState::kSnapshot || prev <= match_) return;
  if (state_ == ProgressState::kProbe && prev + 1 != next_) return;
  next_ = std::max(match_ + 1, std::min(prev, hint + 1));
  BecomeProbe();
}

void Progress::BecomeProbe() {
  state_ = ProgressState::kProbe;
  probe_sent_ = false;
  inflight_.clear();
}

void Progress::BecomeSnapshot(Snapshot snapshot) {
  state_ = ProgressState::kSnapshot;
  snapshot_ = std::move(snapshot);
  snapshot_offset_ = 0;
  snapshot_sent_ = false;
  inflight_.clear();
}

void Progress::RecordSnapshotOffset(std::uint64_t index, std::uint64_t offset) {
  if (state_ != ProgressState::kSnapshot || index != snapshot_.index) return;
  if (offset == snapshot_offset_) return;
  snapshot_offset_ = offset;
  snapshot_sent_ = false;
}

bool Progress::IsSnapshotDue(base::MonotonicTime now, base::Duration retry) const {
  return !snapshot_sent_ || now - snapshot_sent_at_ >= retry;
}

void Progress::RecordSnapshotSent(base::MonotonicTime now) {
  snapshot_sent_ = true;
  snapshot_sent_at_ = now;
}

bool Progress::FinishRound(std::uint64_t last_index, base::MonotonicTime now,
                           base::Duration limit) {
  if (match_ < round_target_) return false;
  const bool caught_up = now - round_start_ <= limit;
  round_target_ = last_index;
  round_start_ = now;
  return caught_up;
}

}  // namespace wagtailpick::consensus
