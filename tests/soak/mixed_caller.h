#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/message.h"
#include "soak/client_connection.h"
#include "soak/promise_checker.h"
#include "soak/stop_checker.h"

namespace wagtailpick::soak {

/// A client that sends requests that take long, in different ways: on kept and on new connections,
/// with a length or in chunks, at once or in parts, with its sending half closed or not. It caches
/// addresses or changes them with each connection, and some of its requests are given up.
class MixedCaller {
 public:
  struct Options {
    /// Distinguishes the request ids and the habits of concurrent callers.
    std::size_t number = 0;
    std::uint64_t seed = 0;
    /// Addresses of the entries, and the process number of the first of them.
    std::vector<std::string> entries;
    std::size_t first_node = 0;
    base::Duration deadline = std::chrono::seconds(4);
  };

  MixedCaller(Options options, PromiseChecker& checker, StopChecker& stops);

  /// Sends one request after the other until `stopping` is set.
  void RunUntil(const std::atomic<bool>& stopping);

 private:
  struct Plan {
    http::Request request;
    std::string id;
    bool idempotent = false;
    SendStyle style;
    base::Duration timeout{0};
  };

  Plan DrawPlan();
  SendStyle DrawStyle(bool has_body);
  /// Makes `connection_` usable for the next request, or chooses another entry and returns false.
  bool Connect();
  void ChooseEntry() { entry_ = random_() % options_.entries.size(); }
  /// Sends one request and returns the time until the next.
  std::chrono::milliseconds SendNext();
  std::chrono::milliseconds DrawPause();
  bool OneIn(std::uint64_t count) { return random_() % count == 0; }

  Options options_;
  PromiseChecker& checker_;
  StopChecker& stops_;
  std::mt19937_64 random_;
  std::size_t entry_ = 0;
  std::uint64_t next_request_ = 0;
  std::unique_ptr<ClientConnection> connection_;
};

}  // namespace wagtailpick::soak
