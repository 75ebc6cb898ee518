#include "log_model.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::storage {

using base::Ok;
using base::Result;

Result<void> LogWorkload::Append(LogStore& store) {
  std::vector<LogEntry> entries;
  for (auto left = random_() % 4 + 1; left > 0; --left) {
    LogModel next = history_.back();
    next.entries.push_back({next.last_index() + 1, term_, static_cast<std::uint32_t>(left),
                            std::string(random_() % 60, static_cast<char>(random_() % 256))});
    entries.push_back(next.entries.back());
    history_.push_back(std::move(next));
  }
  return store.Append(entries);
}

Result<void> LogWorkload::Truncate(LogStore& store) {
  LogModel next = history_.back();
  if (next.entries.empty()) return Ok();
  const std::size_t kept = random_() % next.entries.size();
  const std::uint64_t index = next.entries[kept].index;
  next.entries.resize(kept);
  ++term_;
  history_.push_back(std::move(next));
  return store.TruncateFrom(index);
}

Result<void> LogWorkload::Trim(LogStore& store) {
  LogModel next = history_.back();
  const std::uint64_t index = next.trimmed.index + random_() % (next.entries.size() + 3);
  if (index <= next.trimmed.index) return Ok();
  const std::size_t count = std::min(index - next.trimmed.index, next.entries.size());
  const bool inside = index <= next.last_index();
  const LogPosition last{index, inside ? next.entries[count - 1].term : term_};
  next.entries.erase(next.entries.begin(),
                     next.entries.begin() + static_cast<std::ptrdiff_t>(count));
  next.trimmed = last;
  history_.push_back(std::move(next));
  return store.TrimTo(last);
}

Result<void> LogWorkload::Step(LogStore& store) {
  const auto choice = random_() % 10;
  if (choice < 4) return Append(store);
  if (choice < 5) return Truncate(store);
  if (choice < 6) return Trim(store);
  if (choice < 7) {
    LogModel next = history_.back();
    next.hard_state = {++term_, "replica-" + std::to_string(random_() % 3), 1};
    history_.push_back(next);
    return store.SetHardState(next.hard_state);
  }
  BOOST_OUTCOME_TRY(store.Sync());
  history_ = {history_.back()};
  return Ok();
}

bool LogWorkload::IsPossibleAfterCrash(const LogModel& model) const {
  return std::find(history_.begin(), history_.end(), model) != history_.end();
}

Result<LogModel> ReadModel(LogStore& store) {
  BOOST_OUTCOME_TRY(entries, store.ReadAll());
  return LogModel{std::move(entries), store.trimmed(), store.hard_state()};
}

}  // namespace wagtailpick::storage
