#pragma once

#include <string>

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
};

/// A complete answer.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

}  // namespace wagtailpick::http
