#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "routing/ids.h"

namespace wagtailpick::entry {

/// Assigns ids to the addresses of upstreams. An id is never assigned twice, as its measurements
/// would then count for another upstream.
class UpstreamIds {
 public:
  /// Returns the id of `address`; the first call assigns it.
  routing::UpstreamId IdOf(const std::string& address) {
    const auto [found, added] = ids_.try_emplace(address, next_);
    if (added) ++next_;
    return found->second;
  }

  /// Removes `address` and returns its id; nothing if it has none.
  std::optional<routing::UpstreamId> Remove(const std::string& address) {
    const auto found = ids_.find(address);
    if (found == ids_.end()) return std::nullopt;
    const auto id = found->second;
    ids_.erase(found);
    return id;
  }

  std::size_t size() const { return ids_.size(); }

 private:
  std::map<std::string, routing::UpstreamId> ids_;
  routing::UpstreamId next_ = 0;
};

}  // namespace wagtailpick::entry
