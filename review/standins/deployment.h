#pragma once

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace wagtailpick::review {

/// Ports that all machines of a deployment use, each machine on its own loopback address.
struct Ports {
  int cluster = 0;
  int control = 0;
  int directory = 0;
  int callers = 0;
  int readiness = 0;
  int upstream = 0;
};

/// A small deployment of wagtailpick_edge on loopback addresses, and the platform beneath it: it
/// starts a process again a short time after it has ended, and kills a process that uses more
/// memory than its machine has.
class Deployment {
 public:
  struct Options {
    int controls = 5;
    int entries = 2;
    /// Memory of a machine in MB.
    int entry_memory_mb = 260;
    int control_memory_mb = 256;
  };

  /// `folder` is a temporary folder for settings, disks and output.
  Deployment(std::string program, std::string folder, const Options& options, Record& record);
  /// Ends all processes.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts all processes for the first time.
  void Start();
  /// Ends all processes.
  void Stop();

  /// Sends a signal to a process. A process that ends after SIGTERM or SIGKILL of this call has not
  /// ended by itself.
  void Signal(const std::string& machine, int signal);
  /// Whether the process runs.
  bool Runs(const std::string& machine);

  const Ports& ports() const { return ports_; }
  std::vector<std::string> controls() const { return Names(true); }
  std::vector<std::string> entries() const { return Names(false); }
  Address Control(std::size_t number) const;
  Address Callers(std::size_t number) const;
  Address Readiness(std::size_t number) const;
  /// An address for a stand-in upstream.
  Address Upstream(int number) const;
  /// Zone of an entry.
  std::string ZoneOfEntry(std::size_t number) const;

  /// How often the process has ended by itself; memory over the limit counts.
  int OwnEnds(const std::string& machine);
  /// Resident memory in MB; 0 if it doesn't run.
  double MemoryMb(const std::string& machine);
  /// Highest resident memory so far in MB, over all starts.
  double PeakMemoryMb(const std::string& machine);

 private:
  struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    bool is_control = false;
    int memory_mb = 0;
    pid_t pid = -1;
    bool started_before = false;
    bool signalled = false;
    bool over_memory = false;
    int own_ends = 0;
    double peak_mb = 0;
    double start_due = 0;
  };

  std::vector<std::string> Names(bool is_control) const;
  std::string Ip(int number) const;
  std::string Settings(const Machine& machine) const;
  void StartProcess(Machine& machine);
  void Supervise();
  void CheckProcess(Machine& machine);
  Machine& Find(const std::string& name);

  std::string program_;
  std::string folder_;
  Record& record_;
  std::string network_;
  Ports ports_;
  std::vector<Machine> machines_;
  std::size_t control_count_;
  std::mutex mutex_;
  std::atomic<bool> stopping_ = false;
  std::thread supervisor_;
};

}  // namespace wagtailpick::review
