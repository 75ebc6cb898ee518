#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace wagtailpick::standins {

/// Configuration, announced state and counts of the upstream stand-in. Thread-safe.
class UpstreamState {
 public:
  UpstreamState(std::string service, std::string address, std::string place, unsigned slots);

  /// JSON body of the next announcement.
  std::string NextAnnouncement();

  /// Records the start of a request at `wall_millis` (Unix time in milliseconds). `key` is its
  /// idempotency key or empty, `id` its request id.
  void RecordStart(const std::string& key, const std::string& id, std::int64_t wall_millis);
  /// Records the end of a running request.
  void RecordEnd();
  /// Records a request that was refused because its deadline or its latest start time had passed.
  void RecordExpiredRefusal() { ++refused_expired_; }

  /// Sets the state in later announcements: "up", "draining" or "leaving".
  void SetState(const std::string& state);

  /// Counts for tests as JSON: among others runs, running requests, highest number of concurrent
  /// runs, runs per idempotency key, age of the announced state in milliseconds, and its age when
  /// the latest request started (-1 if none has started since the state was set).
  std::string StatsJson() const;

 private:
  const std::string service_;
  const std::string address_;
  const std::string place_;
  const unsigned slots_;
  const std::int64_t incarnation_;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<std::uint64_t> refused_expired_ = 0;
  mutable std::mutex mutex_;
  std::string state_ = "up";
  std::int64_t state_since_;
  std::int64_t latest_start_ms_ = -1;
  unsigned running_ = 0;
  unsigned max_running_ = 0;
  std::uint64_t runs_ = 0;
  std::map<std::string, unsigned> runs_per_key_;
  /// Request ids of the requests with an idempotency key that ran.
  std::set<std::string> run_ids_;
};

}  // namespace wagtailpick::standins
