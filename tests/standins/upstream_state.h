#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace wagtailpick::standins {

/// What the upstream stand-in was told and what it has seen. Thread-safe.
class UpstreamState {
 public:
  UpstreamState(std::string service, std::string address, std::string place, unsigned slots);

  /// JSON body of the next announcement.
  std::string NextAnnouncement();

  /// Notes that a request starts at `wall_millis`; `key` is its idempotency key or empty, `id` its
  /// request id.
  void Started(const std::string& key, const std::string& id, std::int64_t wall_millis);
  void Finished();
  void RefusedExpired() { ++refused_expired_; }

  /// State that announcements carry: "up", "draining" or "leaving".
  void SetState(const std::string& state);

  /// Counts for checkers: runs, running, highest number of concurrent runs, runs per key, age of
  /// the announced state, and its age when the latest request started (-1 for none).
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
  /// Request ids of the keyed requests that ran.
  std::set<std::string> run_ids_;
};

}  // namespace wagtailpick::standins
