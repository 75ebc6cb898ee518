#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace wagtailpick::review {

/// A route of the config.
struct RouteOptions {
  std::string name;
  std::string prefix;
  /// `safe` or `unsafe`.
  std::string kind;
  std::string service;
  int timeout_ms = 4'000;
  int goal_ms = 600;
  int attempts = 2;
};

/// Name of the host of all routes.
inline constexpr const char* kHost = "ficu95.example";

/// Text of a config with these routes and their services.
std::string ConfigText(int version, const std::vector<RouteOptions>& routes);

/// The operator: sends an order to one node after the other, follows redirects, and sends it again
/// until there is a clear answer or `timeout_s` is over. Returns the last status, 0 for none; for a
/// read, `body` becomes the config.
int SendOrder(const std::vector<Address>& controls, const std::string& method,
              const std::string& target, const std::string& body, double timeout_s, Record& record,
              std::string* answer = nullptr);

/// What became of one client attempt.
struct Attempt {
  std::string id;
  double sent_at = 0;
  double ended_at = 0;
  bool kept_connection = false;
  /// 0: the connection ended, or the time was over, without a complete answer.
  int status = 0;
  bool connection_ended = false;
  bool whole = false;
};

/// Sends one request over `connection`, at `bytes_per_s` at most if it isn't 0, and reads its
/// answer.
Attempt SendRequest(Connection& connection, const std::string& entry, const RouteOptions& route,
                    const std::string& id, int deadline_ms, const std::string& request_body,
                    Record& record, double bytes_per_s = 0);

/// An id that no other request of this run has.
std::string NewId();

/// Waits until a 200 comes from the readiness check. Returns whether it came in time.
bool WaitUntilReady(const Address& readiness, double timeout_s);

}  // namespace wagtailpick::review
