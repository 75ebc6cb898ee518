#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "raw_connection.h"

/// A TCP server on a free loopback port that runs a script for each connection, one at a time.
class RawServer {
 public:
  using Script = std::function<void(RawServer&, RawConnection&)>;

  /// Starts to serve. `script` runs with `connections()` == n for the n-th connection.
  explicit RawServer(Script script);

  /// Stops after the running script has returned.
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t port() const { return port_; }
  std::string url() const;

  /// Number of accepted connections.
  int connections() const { return connections_; }

  /// Number of requests that `ReadRequest` has read.
  int requests() const { return requests_; }

  /// Reads a request and counts it. Returns an empty string when the client closes the connection
  /// first.
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

/// Returns a loopback port on which no socket listens.
std::uint16_t FreePort();
