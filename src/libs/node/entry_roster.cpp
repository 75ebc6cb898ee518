#include "node/entry_roster.h"

#include <algorithm>
#include <set>

namespace wagtailpick::node {
namespace {

/// Longer than a link is usually down, and than the time windows of the limits that entries share.
constexpr base::Duration kRemoveDelay = std::chrono::seconds(20);
constexpr auto kConnected = base::MonotonicTime::max();

}  // namespace

void EntryRoster::Apply(const cluster::EntryNames& names, base::MonotonicTime now) {
  const auto mark_disconnected = [&](base::MonotonicTime& disconnected_at) {
    disconnected_at = std::min(disconnected_at, now);
  };
  if (names.complete) {
    known_ = true;
    for (auto& [name, disconnected_at] : disconnected_at_) mark_disconnected(disconnected_at);
  }
  for (const auto& name : names.added) disconnected_at_[name] = kConnected;
  for (const auto& name : names.removed) {
    const auto found = disconnected_at_.find(name);
    if (found != disconnected_at_.end()) mark_disconnected(found->second);
  }
}

bool EntryRoster::Expire(base::MonotonicTime now) {
  return std::erase_if(disconnected_at_, [now](const auto& item) {
           return item.second != kConnected && now - item.second > kRemoveDelay;
         }) > 0;
}

std::vector<std::string> EntryRoster::names() const {
  std::set<std::string> all{self_};
  for (const auto& [name, disconnected_at] : disconnected_at_) all.insert(name);
  return {all.begin(), all.end()};
}

}  // namespace wagtailpick::node
