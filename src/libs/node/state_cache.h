#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "cluster/messages.h"
#include "orders/order_state.h"

namespace wagtailpick::node {

/// What a replica knew last.
struct CachedState {
  orders::OrderState orders;
  std::vector<cluster::AgedReport> reports;
  std::vector<safety::SuspectReport> suspects;
};

/// Keeps the committed orders, the known upstreams and the requests that end them in a file beside
/// the log, so that a replica that starts again can tell entries at once, before a leader is
/// elected and upstreams have announced themselves. Only a cache: no acknowledgement waits for it,
/// and a damaged file is ignored.
class StateCache {
 public:
  explicit StateCache(std::string path);
  ~StateCache();
  StateCache(const StateCache&) = delete;
  StateCache& operator=(const StateCache&) = delete;

  /// Reads the file; nothing when there is none or it is damaged.
  std::optional<CachedState> Load() const;

  /// Replaces the file on a thread of its own. A disk that stalls delays only later saves.
  void Save(const CachedState& state);

 private:
  std::string path_;
  base::EventLoop loop_;
};

}  // namespace wagtailpick::node
