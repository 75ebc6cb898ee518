#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record.h"
#include "wire.h"

namespace review {

/// Exit codes of a case.
enum class CaseEnd { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// A small deployment of the project's own daemon on loopback addresses, with settings as the
/// provider fills them in. Ends all its processes and removes its folder when it is destroyed.
class Deployment {
 public:
  /// `program` is the daemon of the deploy file.
  Deployment(std::string program, Record& record, int controls, int entries);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Writes the settings of control machine `index`; `seeds` are indexes of control machines.
  void WriteControl(int index, const std::vector<int>& seeds, bool first_start);
  void WriteEntry(int index, const std::vector<int>& seeds);
  bool StartControl(int index) { return Start(ControlName(index)); }
  bool StartEntry(int index) { return Start(EntryName(index)); }
  /// Kills a process (SIGKILL) and waits for its end.
  void Kill(const std::string& name);
  /// Whether the process still runs.
  bool IsRunning(const std::string& name);

  static std::string ControlName(int index) { return "control-" + std::to_string(index); }
  static std::string EntryName(int index) { return "entry-" + std::to_string(index); }
  std::string ControlIp(int index) const { return network_ + std::to_string(10 + index); }
  std::string EntryIp(int index) const { return network_ + std::to_string(100 + index); }
  std::string ServerIp(int index) const { return network_ + std::to_string(200 + index); }
  std::uint16_t orders_port() const { return base_port_; }
  std::uint16_t directory_port() const { return static_cast<std::uint16_t>(base_port_ + 1); }
  std::uint16_t callers_port() const { return static_cast<std::uint16_t>(base_port_ + 3); }
  std::uint16_t ready_port() const { return static_cast<std::uint16_t>(base_port_ + 4); }
  std::uint16_t server_port() const { return static_cast<std::uint16_t>(base_port_ + 5); }

  /// Waits until the entry answers its readiness check with 200.
  bool AwaitReady(int entry, long timeout_ms);
  bool IsReady(int entry);

 private:
  bool Start(const std::string& name);
  std::string NodeSection(const std::string& role, const std::string& vm, const std::string& ip,
                          int zone, const std::vector<int>& seeds) const;
  void WriteFile(const std::string& name, const std::string& text) const;

  std::string program_;
  Record& record_;
  std::string folder_;
  std::string network_;
  std::uint16_t base_port_ = 0;
  std::map<std::string, pid_t> processes_;
};

/// Sends a call of the operator or of a server to control machines in turn, as the page tells:
/// redirects are followed twice, and after a failure or a second the next machine is called.
/// Returns the last answer; status 0 if none came within `timeout_ms`.
Message CallControl(Deployment& deployment, const std::vector<int>& controls,
                    const std::string& method, const std::string& path, const std::string& body,
                    long timeout_ms);

}  // namespace review
