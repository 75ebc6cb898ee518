#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::bundle {

/// A service that callers can send requests to.
struct Service {
  std::string name;
  /// 1 to 9; services with a lower priority are refused first when capacity is short.
  std::int64_t priority = 5;
  /// Longest time that a request may take, in milliseconds.
  std::int64_t request_deadline_ms = 2'000;
  /// Maximum number of slots that one upstream of the service may announce.
  std::int64_t max_slots = 4;
  /// Expected size of an answer in bytes, by which capacity is reserved on links between regions.
  std::int64_t expected_answer_bytes = 20'000;
  /// HTTP methods whose requests may run more than once.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

  /// Returns whether a request with `method` may run more than once.
  bool IsIdempotent(const std::string& method) const {
    return std::find(idempotent_methods.begin(), idempotent_methods.end(), method) !=
           idempotent_methods.end();
  }
};

}  // namespace wagtailpick::bundle
