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
  /// False if the connection broke or the request timed out; then all fields but `order` are empty.
  bool whole = false;
  /// False if no byte of the request was sent, such as when the connection was refused.
  bool sent = false;
  int status = 0;
  /// `ran`, `not_run`, `may_have_run`, or empty.
  std::string verdict;
  /// `reason` of an error body.
  std::string reason;
  /// `attempt_verdict` of an error body: the verdict for this attempt alone.
  std::string attempt_verdict;
  std::string request_id;
  bool replayed = false;
  bool has_retry_after = false;
  std::string body;
  /// Increases in the order in which the requests of this process ended.
  std::uint64_t order = 0;

  /// One-line description for error messages.
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

/// Sends requests with the project's HTTP client.
class HttpCaller {
 public:
  HttpCaller();

  /// Starts a request; throws if the HTTP client refuses it.
  std::future<Answer> Start(const CallerRequest& request) const;

  /// Sends a request and waits until it ends.
  Answer Send(const CallerRequest& request) const { return Start(request).get(); }

  Answer Get(const std::string& address, const std::string& target) const;

  /// Starts a charge with the idempotency key `key` at an entry.
  std::future<Answer> StartCharge(const std::string& entry, const std::string& key,
                                  const std::string& body) const;

 private:
  std::unique_ptr<http::Client> client_;
};

}  // namespace wagtailpick::processes
