#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net/http_listener.h"

namespace wagtailpick::stops {

/// What the servers saw of one request. The times are of its last arrival.
struct ServerTrace {
  int arrivals = 0;
  int runs = 0;
  base::MonotonicTime arrived_at;
  std::optional<base::MonotonicTime> began_at;
  std::optional<base::MonotonicTime> answered_at;
  /// When the connection on which it came was closed before the answer.
  std::optional<base::MonotonicTime> dropped_at;
};

/// Servers of the site's services, with slots, queues, and caches that make repeated work faster.
/// Each server becomes cold again from time to time.
class WorkingServers {
 public:
  WorkingServers(int network, std::vector<std::string> replicas, std::uint64_t seed);
  ~WorkingServers();
  WorkingServers(const WorkingServers&) = delete;
  WorkingServers& operator=(const WorkingServers&) = delete;

  /// Returns what the servers saw of a request; empty if it never arrived.
  std::optional<ServerTrace> Find(const std::string& request_id) const;

 private:
  struct Waiting {
    std::shared_ptr<net::InboundRequest> inbound;
    bool left = false;
  };
  struct Server {
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::int64_t started_unix_ms = 0;
    std::uint64_t sequence = 0;
    base::MonotonicTime cold_until;
    base::MonotonicTime cold_again_due;
    std::size_t running = 0;
    std::deque<std::shared_ptr<Waiting>> queue;
    /// Targets that have run since the server was last cold.
    std::set<std::string> warm;
    std::unique_ptr<net::HttpListener> listener;
  };

  void Serve(Server& server, const std::shared_ptr<net::InboundRequest>& inbound);
  void Begin(Server& server, const std::shared_ptr<Waiting>& waiting);
  void Finish(Server& server, const Waiting& waiting);
  base::Duration DrawWork(Server& server, const http::Request& request);
  base::Duration ColdLeft(const Server& server) const;
  void AnnounceAll();
  void Announce(Server& server);
  void Update(const std::string& request_id, const std::function<void(ServerTrace&)>& change);

  std::vector<std::string> replicas_;
  asio::io_context loop_;
  std::mt19937_64 random_;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, ServerTrace> traces_;
  std::vector<Server> servers_;
  std::thread serving_;
  std::thread announcing_;
};

}  // namespace wagtailpick::stops
