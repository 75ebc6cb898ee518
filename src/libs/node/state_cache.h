#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "cluster/messages.h"
#include "orders/order_state.h"
#include "storage/file_ops.h"

namespace wagtailpick::node {

/// The state that a replica restores from its cache file at a start.
struct CachedState {
  orders::OrderState orders;
  std::vector<cluster::AgedReport> reports;
  std::vector<safety::SuspectReport> suspects;
};

/// Keeps the committed orders, the known upstreams and the suspect requests in a file beside the
/// log. A restarted replica can send them to entries at once, before a leader is elected and the
/// upstreams have announced themselves. Only a cache: no acknowledgement waits for it, and a
/// damaged file is ignored.
class StateCache {
 public:
  explicit StateCache(std::string path, storage::FileOpsPtr files = storage::PosixFileOps());
  ~StateCache();
  StateCache(const StateCache&) = delete;
  StateCache& operator=(const StateCache&) = delete;

  /// Reads the file. Returns nothing when it does not exist or is damaged.
  std::optional<CachedState> Load() const;

  /// Replaces the file on a separate thread. Errors are logged; while the disk is stalled, further
  /// saves are skipped.
  void Save(const CachedState& state);

 private:
  std::string path_;
  storage::FileOpsPtr files_;
  base::EventLoop loop_;
};

}  // namespace wagtailpick::node
