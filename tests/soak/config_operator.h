#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "base/monotonic_time.h"
#include "http/message.h"
#include "platform/standin_wire.h"
#include "soak/deployment.h"
#include "soak/promise_checker.h"

namespace wagtailpick::soak {

/// An operator who stores one version of the config after the other and reads them back.
class ConfigOperator {
 public:
  struct Options {
    std::uint64_t seed = 0;
    std::size_t replicas = 0;
    /// Longest deadline of a caller. The timeouts of the drawn configs are not shorter.
    std::chrono::milliseconds long_deadline{0};
  };

  ConfigOperator(const Options& options, const Deployment& deployment, PromiseChecker& checker);

  /// Stores and reads versions until `stopping` is set. The versions change timeouts and limits
  /// once `faults_are_over`.
  void RunUntil(const std::atomic<bool>& stopping, const std::atomic<bool>& faults_are_over);

  /// Reads the config from the replica `first` (modulo their number) until a read succeeds or `end`
  /// has passed, as the last stop may have been that of the leader. Returns whether one succeeded.
  bool ReadUntil(std::size_t first, base::MonotonicTime end);

  /// Whether a valid config was refused as invalid.
  bool valid_config_refused() const { return valid_config_refused_; }
  /// Answer of the last read that failed.
  const std::string& last_failed_read() const { return last_failed_read_; }

 private:
  /// Sends an order to the replica `first` (modulo their number) and follows redirects. Returns the
  /// answer, or `nullopt` if a call fails or the redirects exceed `kMaxRedirects`.
  std::optional<http::Response> SendOrder(const http::Request& request, std::size_t first);
  platform::ConfigValues DrawConfig();
  bool Read(std::size_t first);

  Options options_;
  const Deployment& deployment_;
  PromiseChecker& checker_;
  std::mt19937_64 random_;
  std::atomic<bool> valid_config_refused_ = false;
  std::string last_failed_read_;
};

}  // namespace wagtailpick::soak
