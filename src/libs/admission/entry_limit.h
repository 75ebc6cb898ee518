#pragma once

#include <cstdint>
#include <string_view>

namespace wagtailpick::admission {

/// Answer of `EntryLimit::TryAdmit`.
enum class EntryDecision {
  kAdmitted,
  kFull,
  /// The rest of the limit is kept for the service of the highest priority.
  kReserved,
};

/// Returns the decision's name in logs and metrics.
std::string_view ToString(EntryDecision decision);

/// Limit on the requests that run at one entry. Above 80% of it only the highest priority enters.
class EntryLimit {
 public:
  explicit EntryLimit(std::uint32_t limit) : limit_(limit) {}

  /// Sets the highest priority of all services of the bundle.
  void SetHighestPriority(int priority) { highest_priority_ = priority; }

  /// Counts a request in when it is admitted; every admitted one needs one `Release`.
  EntryDecision TryAdmit(int priority);

  /// Counts a request out; returns false when none was running.
  bool Release();

  std::uint32_t running() const { return running_; }

 private:
  std::uint32_t limit_;
  std::uint32_t running_ = 0;
  int highest_priority_ = 0;
};

}  // namespace wagtailpick::admission
