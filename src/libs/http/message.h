#pragma once

#include <memory>
#include <string>

#include "base/memory_budget.h"
#include "http/header.h"

namespace wagtailpick::http {

/// A complete request as received.
struct Request {
  std::string method;
  /// Path with query.
  std::string target;
  Headers headers;
  std::string body;
  /// IP address of the client.
  std::string peer;
  /// Counts the body in the memory budget of the process; null if it is not counted.
  std::shared_ptr<base::MemoryReservation> memory = nullptr;
};

/// A complete answer.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
  /// Counts the body in the memory budget of the process; null if it is not counted.
  std::shared_ptr<base::MemoryReservation> memory = nullptr;
};

}  // namespace wagtailpick::http
