#include "node/entry_roster.h"

#include <algorithm>
#include <set>

namespace wagtailpick::node {
namespace {

/// Longer than links are usually cut, and than the windows of the bounds that entries share.
constexpr base::Duration kKeepGone = std::chrono::seconds(20);
constexpr auto kConnected = base::MonotonicTime::max();

}  // namespace

void EntryRoster::Take(const cluster::EntryNames& names, base::MonotonicTime now) {
  const auto remove = [&](base::MonotonicTime& gone_at) { gone_at = std::min(gone_at, now); };
  if (names.complete) {
    for (auto& [name, gone_at] : gone_at_) remove(gone_at);
  }
  for (const auto& name : names.added) gone_at_[name] = kConnected;
  for (const auto& name : names.removed) {
    const auto found = gone_at_.find(name);
    if (found != gone_at_.end()) remove(found->second);
  }
}

bool EntryRoster::Expire(base::MonotonicTime now) {
  return std::erase_if(gone_at_, [now](const auto& item) {
           return item.second != kConnected && now - item.second > kKeepGone;
         }) > 0;
}

std::vector<std::string> EntryRoster::names() const {
  std::set<std::string> all{self_};
  for (const auto& [name, gone_at] : gone_at_) all.insert(name);
  return {all.begin(), all.end()};
}

}  // namespace wagtailpick::node
