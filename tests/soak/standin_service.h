#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "net/http_listener.h"
#include "soak/promise_checker.h"
#include "soak/stop_checker.h"
#include "soak/work_queue.h"

namespace wagtailpick::soak {

/// A request to this target crashes the upstream that runs it.
inline constexpr const char* kCrashTarget = "/read/deadly";
/// Requests to these targets take long and need one of the few slots of an upstream.
inline constexpr const char* kLongReadTarget = "/read/long";
inline constexpr const char* kLongChargeTarget = "/charge/long";

/// Upstreams of one service that announce themselves, run requests, lose some answers, drain and
/// restart with new ids.
class StandinService {
 public:
  StandinService(int network, std::size_t upstreams, std::vector<std::string> replicas,
                 PromiseChecker& checker, StopChecker& stops, std::uint64_t seed);
  ~StandinService();
  StandinService(const StandinService&) = delete;
  StandinService& operator=(const StandinService&) = delete;

  /// Drains an upstream; it is replaced at its address 4 s after the drain was acknowledged.
  void Replace(std::size_t upstream);
  /// Makes an upstream say in its answers, but not in its announcements, that it leaves; it is
  /// replaced 6 s later.
  void LeaveWithoutAnnouncement(std::size_t upstream);
  /// Makes an upstream refuse all requests for 3 s, with the remaining time as its back-off time.
  void StartBackOff(std::size_t upstream);
  /// Makes an upstream name a limit in its answers, until `EndLimit` or its next start.
  void StartLimit(std::size_t upstream, double requests_per_second);
  /// Does the same with the first upstream from position `first` on that stays, and returns its id;
  /// empty if all are about to end.
  std::string StartLimitOfLasting(std::size_t first, double requests_per_second);
  void EndLimit(std::size_t upstream);
  /// Sets the fraction (0 to 1) of the answers that are lost after their requests have run.
  void set_lost_share(double share) { lost_share_ = share; }
  std::size_t size() const { return upstreams_.size(); }

 private:
  struct Upstream {
    std::string ip;
    std::string id;
    std::uint64_t sequence = 0;
    std::int64_t started_unix_ms = 0;
    bool draining = false;
    /// It has crashed and restarts later.
    bool down = false;
    /// Its answers, but not its announcements, say that it leaves.
    bool leaving = false;
    base::MonotonicTime back_off_until;
    /// Requests per second that its answers name as the limit; empty for none.
    std::optional<double> limit;
    bool drain_acknowledged = false;
    base::MonotonicTime replace_due;
    std::unique_ptr<WorkQueue> long_requests;
    std::unique_ptr<net::HttpListener> listener;
  };

  void Serve(Upstream& upstream, const std::shared_ptr<net::InboundRequest>& inbound);
  void Run(const std::shared_ptr<net::InboundRequest>& inbound, const std::string& id, bool leaving,
           std::optional<double> limit);
  void Announce(std::size_t upstream);
  void AnnounceLoop();
  void Listen(Upstream& upstream);
  void Crash(Upstream& upstream);
  void Restart(Upstream& upstream);

  std::vector<std::string> replicas_;
  PromiseChecker& checker_;
  StopChecker& stops_;
  asio::io_context loop_;
  std::mt19937_64 random_;
  std::atomic<double> lost_share_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<Upstream> upstreams_;
  int next_id_ = 1;
  std::thread serving_thread_;
  std::thread announcing_thread_;
};

}  // namespace wagtailpick::soak
