#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "metrics/registry.h"
#include "net/end_probe.h"
#include "relay/decision_log.h"
#include "safety/suspect_table.h"

namespace wagtailpick::relay {

/// A connection that was lost while an upstream had a request.
struct LostExchange {
  /// Of the caller's attempt.
  std::string request_id;
  safety::Fingerprint fingerprint{};
  std::string upstream;
  safety::UpstreamRun run;
};

/// Finds out which requests end the upstreams that run them. Used on one loop only.
class CrashGuard {
 public:
  CrashGuard(asio::io_context& loop, DecisionLog& log, metrics::Registry& registry);

  /// Finds out whether the upstream has ended, by a connection attempt.
  void NoteLoss(const LostExchange& lost);

 private:
  void TakeVerdict(const LostExchange& lost, net::ProbeVerdict verdict);

  net::EndProbe probe_;
  DecisionLog& log_;
  metrics::Registry& metrics_;
};

}  // namespace wagtailpick::relay
