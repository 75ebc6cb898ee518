#include "consensus/log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wagtailpick::consensus {

Log::Log(const Snapshot& snapshot)
    : base_index_(snapshot.index),
      base_term_(snapshot.term),
      memberships_{{snapshot.index, snapshot.membership}} {}

std::uint64_t Log::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<std::uint64_t> Log::TermAt(std::uint64_t index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return At(index).term;
}

const Entry& Log::At(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }

std::uint64_t Log::FirstIndexOfTerm(std::uint64_t index) const {
  const auto term = TermAt(index);
  while (index > base_index_ + 1 && At(index - 1).term == term) --index;
  return index;
}

std::vector<Entry> Log::Slice(std::uint64_t first, std::uint64_t last,
                              std::size_t max_bytes) const {
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= last; ++index) {
    bytes += SizeOf(At(index));
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(At(index));
  }
  return slice;
}

base::Result<void> Log::Append(Entry entry) {
  if (entry.index != last_index() + 1) {
    return base::Fail(base::ErrorCode::kCorrupt, "log entry " + std::to_string(entry.index) +
                                                     " follows entry " +
                                                     std::to_string(last_index()));
  }
  if (entry.kind == EntryKind::kMembership) {
    BOOST_OUTCOME_TRY(membership, Membership::Parse(entry.data));
    memberships_.push_back({entry.index, std::move(membership)});
  }
  entries_.push_back(std::move(entry));
  return base::Ok();
}

void Log::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty()) entries_.pop_back();
  while (memberships_.size() > 1 && memberships_.back().index >= index) memberships_.pop_back();
}

void Log::TrimThrough(std::uint64_t index) {
  while (base_index_ < index && !entries_.empty()) {
    base_term_ = entries_.front().term;
    entries_.pop_front();
    ++base_index_;
  }
  while (memberships_.size() > 1 && memberships_[1].index <= base_index_) {
    memberships_.erase(memberships_.begin());
  }
}

const Membership& Log::MembershipAt(std::uint64_t index) const {
  const auto after =
      std::find_if(memberships_.begin() + 1, memberships_.end(),
                   [index](const IndexedMembership& candidate) { return candidate.index > index; });
  return std::prev(after)->membership;
}

}  // namespace wagtailpick::consensus
