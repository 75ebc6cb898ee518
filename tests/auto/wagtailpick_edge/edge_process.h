#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "harness/child.h"
#include "harness/work_folder.h"

namespace wagtailpick::edge_test {

/// A process of the edge program with its settings, on a loopback address of this test process.
class EdgeProcess {
 public:
  /// Writes the settings of a replica that creates its group alone; does not start it.
  static EdgeProcess Replica(std::string program);
  /// Writes the settings of an entry that reaches no replica; does not start it.
  static EdgeProcess Entry(std::string program);

  /// Starts the process with the settings.
  void Start();
  /// Starts the process with the settings and writes its log lines to `path`.
  void StartWithOutput(const std::string& path);
  void Signal(int signal) const { child_->Signal(signal); }

  /// Waits up to `timeout` for the end of the process. Returns its exit code, or the negated number
  /// of the signal that ended it, or nothing while it runs.
  std::optional<int> WaitForEnd(std::chrono::milliseconds timeout);
  /// Waits up to `timeout` until the process has written `text` to its log or standard error.
  bool WaitForOutput(const std::string& text, std::chrono::milliseconds timeout) const;

  /// Waits up to `timeout` until a connection to `port` of the process is accepted.
  bool WaitForListener(int port, std::chrono::milliseconds timeout) const;

  /// Log lines and what was written to standard error.
  std::string output() const { return folder_->Read("out") + folder_->Read("err"); }
  const std::string& settings() const { return settings_; }
  std::string settings_path() const { return folder_->Path("settings.ini"); }
  const processes::WorkFolder& folder() const { return *folder_; }
  /// Address of the process; all its ports are below.
  const std::string& ip() const { return ip_; }
  static constexpr int kClusterPort = 17'720;
  static constexpr int kServicePort = 17'721;
  static constexpr int kSecondPort = 17'722;

 private:
  explicit EdgeProcess(std::string program);
  void SetSettings(const std::string& role, const std::string& section);

  std::string program_;
  std::string ip_;
  std::string settings_;
  std::unique_ptr<processes::WorkFolder> folder_;
  std::unique_ptr<processes::Child> child_;
};

/// Whether a connection to `ip` and `port` is accepted.
bool IsListening(const std::string& ip, int port);

/// Polls until `condition` holds; returns false after `timeout`.
bool HoldsWithin(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

}  // namespace wagtailpick::edge_test
