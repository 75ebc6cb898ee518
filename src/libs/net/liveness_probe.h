#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"

namespace wagtailpick::net {

/// State of the process at an address, as concluded from a connection attempt.
enum class ProbeVerdict : std::uint8_t {
  /// The connection was refused: no process listens at the address, so it has ended.
  kEnded,
  /// The connection was accepted: a process listens at the address.
  kListening,
  /// The attempt timed out or failed with another error.
  kUnknown,
};

/// Returns the name of `verdict` in logs.
std::string_view ToString(ProbeVerdict verdict);

/// Finds out by a new connection attempt whether a process has ended or only a connection to it was
/// lost. Not thread-safe: use it on the thread of its event loop only.
class LivenessProbe {
 public:
  using Done = std::function<void(ProbeVerdict)>;

  explicit LivenessProbe(asio::io_context& loop);

  /// Tries to connect to `endpoint` and calls `done` once with the verdict, at the latest after the
  /// timeout of 500 ms. Never calls it when the probe is destroyed before. Concurrent calls for the
  /// same address share one attempt.
  void Start(const base::Endpoint& endpoint, Done done);

 private:
  struct Attempt;
  /// Callbacks of the running attempts, by address.
  using Callbacks = std::unordered_map<std::string, std::vector<Done>>;

  asio::io_context& loop_;
  std::shared_ptr<Callbacks> callbacks_;
};

}  // namespace wagtailpick::net
