#pragma once

#include <cstdint>
#include <string_view>

namespace wagtailpick::admission {

/// Result of `EntryLimit::TryAdmit`.
enum class EntryDecision {
  kAdmitted,
  /// The limit is reached.
  kFull,
  /// The rest of the limit is reserved for services of the highest priority.
  kReserved,
};

/// Returns the decision's name in logs and metrics.
std::string_view ToString(EntryDecision decision);

/// Limits the number of concurrent requests at one entry. Above 80% of the limit only requests of
/// the highest priority are admitted.
class EntryLimit {
 public:
  explicit EntryLimit(std::uint32_t limit) : limit_(limit) {}

  /// Sets the highest priority among the services of the bundle.
  void SetHighestPriority(int priority) { highest_priority_ = priority; }

  /// Admits a request of `priority` if the limit allows it. Call `Release` once when an admitted
  /// request has ended.
  EntryDecision TryAdmit(int priority);

  /// Ends an admitted request; returns false when none is running.
  bool Release();

  std::uint32_t running() const { return running_; }

 private:
  std::uint32_t limit_;
  std::uint32_t running_ = 0;
  int highest_priority_ = 0;
};

}  // namespace wagtailpick::admission
