#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "metrics/registry.h"
#include "net/http_listener.h"
#include "relay/relay.h"

namespace wagtailpick::relay_test {

/// Bytes that are sent as an answer. An empty text sends no answer.
struct RawAnswer {
  std::string text;
  /// Closes the connection after the bytes.
  bool close = false;
  /// Simulates a crash of the upstream: closes all connections and stops listening.
  bool crash = false;
};

/// Returns a request with the id `id`.
std::string Request(const std::string& id);
/// Returns a complete answer to the request with the id `id`.
std::string Whole(const std::string& id, const std::string& body = "END");
/// Returns the status of an answer; 0 if it has none.
int StatusOf(const std::string& answer);

/// An upstream that answers each request with the bytes that its script returns.
class FakeUpstream {
 public:
  /// Called with the head of a request and its number, counted from 1.
  using Script = std::function<RawAnswer(const std::string& head, int number)>;

  explicit FakeUpstream(Script script);
  ~FakeUpstream();
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;

  std::string address() const;
  /// Sends `text` as the answer to a request that runs. Returns false if none does.
  bool AnswerRunning(const std::string& text);
  /// Number of requests that have arrived.
  int requests() const { return requests_; }
  /// Number of connections that were accepted.
  int connections() const { return connections_; }
  /// Whether it has simulated a crash.
  bool crashed() const { return crashed_; }
  /// Number of connections that the relay closed while a request was running.
  int cancelled_requests() const { return cancelled_requests_; }

 private:
  struct Connection;
  void Accept();
  void Read(const std::shared_ptr<Connection>& peer);
  void Crash();

  Script script_;
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::vector<std::weak_ptr<Connection>> open_connections_;
  std::atomic<bool> crashed_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<int> cancelled_requests_ = 0;
  std::thread thread_;
};

/// An entry's relay with its listener and upstreams, on its own thread.
class RelayHost {
 public:
  /// `memory_bytes` is the memory budget for the bodies of answers.
  explicit RelayHost(const std::vector<std::string>& upstreams, bool idempotent = true,
                     std::size_t memory_bytes = 64'000'000);
  ~RelayHost();
  RelayHost(const RelayHost&) = delete;
  RelayHost& operator=(const RelayHost&) = delete;

  /// Answers a request for a token; nothing for no answer. `id` of the answer is not used.
  using TokenScript =
      std::function<std::optional<limits::TokenAnswer>(const limits::TokenRequest& request)>;
  /// Simulates a replica that answers requests for tokens after `delay`. Without it, no replica can
  /// be reached.
  void AnswerTokenRequests(TokenScript script, base::Duration delay = {});
  /// Number of requests for tokens.
  int token_requests() const { return token_requests_; }

  /// Makes the relay drain as if the signal to stop had come `since` ago.
  void StartDraining(base::Duration since, base::Duration grace);
  /// Makes the relay answer all requests that run, as before the process exits. Returns
  /// their number.
  std::size_t EndRequests();
  /// Makes the relay refuse all requests that have not been sent. Returns their number.
  std::size_t RefuseUnsentRequests();
  /// Puts a catalog in force in which the route has another timeout.
  void SetRouteTimeout(base::Duration timeout);
  /// Reports that the upstream at `address` has left.
  void RemoveUpstream(const std::string& address);
  /// Applies an announcement of a ready upstream with four slots, whose process started at
  /// `started_unix_ms`.
  void Announce(const std::string& address, std::int64_t started_unix_ms, std::uint64_t sequence);
  /// Simulates that no replica can be reached any more.
  void LoseReplicas();
  /// Runs `task` on the relay's thread and waits for its end. The relay handles no events
  /// meanwhile.
  void RunOnLoop(const std::function<void()>& task);
  /// Passes a request with the id `id` to the relay, as the listener does. Only for tasks of
  /// `RunOnLoop`. The result is the status of the answer; 0 if the relay aborts the request.
  std::future<int> PassOn(const std::string& id);
  /// Makes the relay's loop run nothing else for `time`.
  void BlockLoop(base::Duration time);
  /// Number of requests that have not ended.
  std::size_t running();
  /// Number of attempts that have ended. What the relay does next with their requests has begun.
  std::size_t ended_attempts();
  /// Where the relay accepts requests.
  const base::Endpoint& endpoint() const { return endpoint_; }
  /// Bytes that the budget counts for all uses.
  std::size_t memory_held();
  /// The most bytes that the budget has counted for all uses together.
  std::size_t memory_peak();

  /// Sends raw bytes to the relay. Returns all bytes received until they end with "END", the relay
  /// closes the connection, or `wait` has passed.
  std::string Exchange(const std::string& bytes, base::Duration wait) const;
  /// Sends raw bytes and closes the connection after `wait`.
  void SendAndLeave(const std::string& bytes, base::Duration wait) const;

 private:
  bool idempotent_;
  asio::io_context loop_;
  relay::RoutingState routing_state_;
  metrics::Registry metrics_;
  std::shared_ptr<base::MemoryBudget> memory_;
  std::unique_ptr<relay::Relay> relay_;
  std::unique_ptr<net::HttpListener> listener_;
  base::Endpoint endpoint_;
  std::atomic<int> token_requests_ = 0;
  std::thread thread_;
};

}  // namespace wagtailpick::relay_test
