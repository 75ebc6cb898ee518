#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "harness/child.h"
#include "harness/work_folder.h"

namespace wagtailpick::stops {

/// Time from SIGTERM to SIGKILL, as the platform gives it to each process.
inline constexpr base::Duration kGrace = std::chrono::seconds(6);

/// The processes of one system on loopback: replicas, and entries that are stopped and started. All
/// calls come from the thread that made it.
class Fleet {
 public:
  /// A time in which a process stands still.
  struct Pause {
    /// Start, from SIGTERM on. A pause that starts at once also delays the signal.
    base::Duration start{};
    base::Duration length{};
  };

  /// One stop of an entry.
  struct Stop {
    std::size_t entry = 0;
    base::MonotonicTime signalled_at;
    /// Empty while the process runs.
    std::optional<base::MonotonicTime> ended_at;
    bool killed = false;
  };

  Fleet(std::string program, int network, std::size_t replicas, std::size_t entries);

  void StartAll();
  /// Sends SIGTERM to an entry that is not being stopped. With a `pause`, the process then stands
  /// still for a while, and so handles late what comes meanwhile.
  void StopEntry(std::size_t entry, const Pause& pause);
  /// Begins and ends pauses, kills those whose grace time is over, and starts those
  /// that have ended.
  void Poll();
  /// Whether the entry runs and has had `time` since its start.
  bool HasRunFor(std::size_t entry, base::Duration time) const;

  std::vector<std::string> OrdersAddresses() const;
  std::vector<std::string> DirectoryAddresses() const;
  std::string CallersAddress(std::size_t entry) const;
  /// Log lines of an entry that contain `text`.
  std::vector<std::string> LogLines(std::size_t entry, const std::string& text) const;
  const std::vector<Stop>& stops() const { return stops_; }
  /// Number of processes that ended without a signal of this fleet.
  int unexpected_ends() const { return unexpected_ends_; }
  void KeepFolder() { folder_.Keep(); }

 private:
  struct Process {
    std::string name;
    std::string ip;
    bool replica = false;
    std::unique_ptr<processes::Child> child;
    base::MonotonicTime started_at;
    /// Position of the running stop in `stops_`.
    std::optional<std::size_t> stop;
    /// Pause of the running stop.
    Pause pause;
    bool paused = false;
  };

  std::string Settings(const Process& process, bool first_start) const;
  void Start(Process& process, bool first_start);
  static void PollPause(Process& process, base::Duration since_signal);
  void HandleEnd(Process& process, base::MonotonicTime now);

  std::string program_;
  std::size_t replicas_;
  processes::WorkFolder folder_;
  std::vector<Process> processes_;
  std::vector<Stop> stops_;
  int unexpected_ends_ = 0;
};

}  // namespace wagtailpick::stops
