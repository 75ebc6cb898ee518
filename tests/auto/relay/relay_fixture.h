#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "metrics/registry.h"
#include "net/http_listener.h"
#include "relay/relay.h"

namespace wagtailpick::relay_test {

/// Sends raw bytes as an answer, then closes if `close` is set; an empty text closes at once.
struct RawAnswer {
  std::string text;
  bool close = false;
  /// The upstream's process ends: all its connections are lost and nobody listens any more.
  bool end = false;
};

/// An upstream that answers each request with the next bytes of its script.
class FakeUpstream {
 public:
  using Script = std::function<RawAnswer(const std::string& head, int number)>;

  explicit FakeUpstream(Script script);
  ~FakeUpstream();
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;

  std::string address() const;
  /// Requests that have come.
  int requests() const { return requests_; }
  /// Connections that were made.
  int connections() const { return connections_; }
  /// Whether its process has ended.
  bool ended() const { return ended_; }
  /// Connections whose peer has closed them while a request was running.
  int abandoned() const { return abandoned_; }

 private:
  struct Peer;
  void Accept();
  void Read(const std::shared_ptr<Peer>& peer);
  void End();

  Script script_;
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::vector<std::weak_ptr<Peer>> peers_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<int> abandoned_ = 0;
  std::thread thread_;
};

/// An entry's relay in front of upstreams, on a thread of its own.
class RelayHost {
 public:
  explicit RelayHost(const std::vector<std::string>& upstreams, bool idempotent = true);
  ~RelayHost();
  RelayHost(const RelayHost&) = delete;
  RelayHost& operator=(const RelayHost&) = delete;

  /// Sends raw bytes to the relay and returns all that comes until it closes or `wait` has passed.
  std::string Exchange(const std::string& bytes, base::Duration wait) const;
  /// Sends raw bytes and closes the connection after `wait`.
  void SendAndLeave(const std::string& bytes, base::Duration wait) const;

 private:
  asio::io_context loop_;
  relay::RoutingState routing_state_;
  metrics::Registry metrics_;
  std::unique_ptr<relay::Relay> relay_;
  std::unique_ptr<net::HttpListener> listener_;
  base::Endpoint endpoint_;
  std::thread thread_;
};

}  // namespace wagtailpick::relay_test
