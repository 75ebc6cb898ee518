#pragma once

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>

#include "http/client.h"

namespace wagtailpick::processes {

/// How a request ended for its caller.
struct Answer {
  /// False when the connection broke or the wait ended; then the rest is empty.
  bool whole = false;
  int status = 0;
  /// `ran`, `not_run`, `may_have_run`, or empty.
  std::string verdict;
  /// `reason` of an error body.
  std::string reason;
  /// `attempt_verdict` of an error body: what happened to this attempt alone.
  std::string attempt_verdict;
  std::string request_id;
  bool replayed = false;
  bool has_retry_after = false;
  std::string body;
  /// Rises in the order in which requests of this process ended.
  std::uint64_t order = 0;

  /// One line for messages.
  std::string Text() const;
};

/// A request of a caller.
struct CallerRequest {
  std::string method = "GET";
  /// Address of the entry.
  std::string address;
  std::string target;
  http::Headers headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout = std::chrono::seconds(60);
};

/// Sends requests through our HTTP client.
class HttpCaller {
 public:
  HttpCaller();

  /// Starts a request.
  std::future<Answer> Start(const CallerRequest& request) const;

  /// Sends a request and waits for its end.
  Answer Send(const CallerRequest& request) const { return Start(request).get(); }

  Answer Get(const std::string& address, const std::string& target) const;

  /// Starts a charge under `key` at an entry.
  std::future<Answer> StartCharge(const std::string& entry, const std::string& key,
                                  const std::string& body) const;

 private:
  std::unique_ptr<http::Client> client_;
};

}  // namespace wagtailpick::processes
