#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "raw_connection.h"

/// A server on a free loopback port that hands each connection to a script, one at a time.
class RawServer {
 public:
  using Script = std::function<void(RawServer&, RawConnection&)>;

  /// Starts to serve; the n-th connection goes to `script` with `connections()` == n.
  explicit RawServer(Script script);

  /// Waits for the running script and stops.
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t port() const { return port_; }
  std::string url() const;

  /// Number of connections that were accepted.
  int connections() const { return connections_; }

  /// Number of requests that were read as a whole by `ReadRequest`.
  int requests() const { return requests_; }

  /// Reads a request and counts it; returns an empty text when the client closes first.
  std::string ReadRequest(RawConnection& connection);

 private:
  void Run();

  Script script_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

/// Returns a loopback port on which nobody listens.
std::uint16_t FreePort();
