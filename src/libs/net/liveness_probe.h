#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"

namespace wagtailpick::net {

/// What a connection attempt tells of the process behind an address.
enum class ProbeVerdict : std::uint8_t {
  /// Nobody listens there: the process has ended.
  kEnded,
  /// Somebody listens there.
  kListening,
  /// The attempt wasn't answered in time, or failed in another way.
  kUnknown,
};

std::string_view ToString(ProbeVerdict verdict);

/// Tells a process that has ended from a connection that was merely lost, by a connection attempt.
/// Used on one loop only.
class LivenessProbe {
 public:
  using Done = std::function<void(ProbeVerdict)>;

  explicit LivenessProbe(asio::io_context& loop);

  /// Calls `done` once, within half a second. Calls for an address whose attempt is under way share
  /// its verdict.
  void Start(const base::Endpoint& endpoint, Done done);

 private:
  struct Attempt;
  using Waiting = std::unordered_map<std::string, std::vector<Done>>;

  asio::io_context& loop_;
  std::shared_ptr<Waiting> waiting_;
};

}  // namespace wagtailpick::net
