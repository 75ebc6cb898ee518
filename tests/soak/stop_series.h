#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "soak/deployment.h"
#include "soak/promise_checker.h"
#include "soak/standin_service.h"
#include "soak/stop_checker.h"

namespace wagtailpick::soak {

/// Planned stops of processes in series that overlap, as in a rolling restart. Between them come
/// reloads, second signals and upstreams that leave. Acts as the platform: it kills what is still
/// there after the grace time, and starts each process again that has ended.
class StopSeries {
 public:
  StopSeries(Deployment& deployment, StandinService& service, PromiseChecker& promises,
             StopChecker& stops, base::Duration grace, std::uint64_t seed);

  /// Stops processes for `length`, then waits until all run again.
  void Run(base::Duration length);

  /// Each event, with its Unix time in milliseconds.
  const std::vector<std::string>& log() const { return log_; }

 private:
  enum class State : std::uint8_t { kRunning, kStopping, kDown };
  struct Process {
    State state = State::kRunning;
    base::MonotonicTime started_at;
    base::MonotonicTime stopped_at;
    /// When a process that is down is started again.
    base::MonotonicTime start_due;
    /// When a process that was just started is stopped again; the default for never.
    base::MonotonicTime early_stop_due;
  };

  void Act();
  /// Follows the ends of processes, and starts them again.
  void Attend(std::size_t node);
  void HandleEnd(std::size_t node, int exit_code);
  void Start(std::size_t node);
  void Stop(std::size_t node);
  void StopNextEntry();
  void StopReplica();
  /// Sends `signal` to a process that stops, or to any if none does.
  void SignalStopping(int signal);
  std::size_t CountInState(State state, std::size_t begin, std::size_t end) const;
  void Log(const std::string& event, std::size_t subject);

  Deployment& deployment_;
  StandinService& service_;
  PromiseChecker& promises_;
  StopChecker& stops_;
  base::Duration grace_;
  std::mt19937_64 random_;
  std::vector<Process> processes_;
  std::size_t next_entry_;
  bool ending_ = false;
  std::vector<std::string> log_;
};

}  // namespace wagtailpick::soak
