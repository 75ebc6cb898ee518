#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "net/http_listener.h"
#include "soak/ledger.h"

namespace wagtailpick::soak {

/// A request to this target ends the upstream that runs it.
inline constexpr const char* kDeadlyTarget = "/read/deadly";

/// Upstreams of one service that announce themselves, run requests, lose some answers, drain and
/// come back under new ids.
class StandinService {
 public:
  StandinService(int network, std::size_t upstreams, std::vector<std::string> replicas,
                 Ledger& ledger, std::uint64_t seed);
  ~StandinService();
  StandinService(const StandinService&) = delete;
  StandinService& operator=(const StandinService&) = delete;

  /// One upstream drains and is replaced at its address a little later.
  void Replace(std::size_t upstream);
  /// One upstream says in its answers alone that it leaves, and is replaced some seconds later.
  void LeaveQuietly(std::size_t upstream);
  /// One upstream turns all requests away for a while and wants nothing for the rest of it.
  void Pause(std::size_t upstream);
  /// Share of the answers that are lost after their requests have run.
  void set_lost_share(double share) { lost_share_ = share; }
  std::size_t size() const { return upstreams_.size(); }

 private:
  struct Upstream {
    std::string ip;
    std::string id;
    std::uint64_t sequence = 0;
    std::int64_t started_unix_ms = 0;
    bool draining = false;
    /// Its process has ended and comes back later.
    bool down = false;
    /// It says in its answers that it leaves, but not in its announcements.
    bool leaving = false;
    base::MonotonicTime paused_until;
    bool drain_acknowledged = false;
    base::MonotonicTime replace_due;
    std::unique_ptr<net::HttpListener> listener;
  };

  void Serve(Upstream& upstream, const std::shared_ptr<net::InboundRequest>& inbound);
  void Run(const std::shared_ptr<net::InboundRequest>& inbound, bool leaving);
  void Announce(std::size_t upstream);
  void AnnounceLoop();
  void Listen(Upstream& upstream);
  void End(Upstream& upstream);
  void Restart(Upstream& upstream);

  std::vector<std::string> replicas_;
  Ledger& ledger_;
  asio::io_context loop_;
  std::mt19937_64 random_;
  std::atomic<double> lost_share_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<Upstream> upstreams_;
  int next_id_ = 1;
  std::thread serving_;
  std::thread announcing_;
};

}  // namespace wagtailpick::soak
