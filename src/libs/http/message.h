#pragma once

#include <string>

#include "http/header.h"

namespace wagtailpick::http {

/// A whole request as it came in.
struct Request {
  std::string method;
  /// Path with query.
  std::string target;
  Headers headers;
  std::string body;
  /// IP address of the client.
  std::string peer;
};

/// A whole answer.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

}  // namespace wagtailpick::http
