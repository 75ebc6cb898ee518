#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::soak {

/// What callers, upstreams and the operator have seen, and the promises that it breaks.
/// Thread-safe.
class Ledger {
 public:
  /// An upstream began to run a request.
  void NoteRun(const std::string& request, bool idempotent);
  /// A caller got an answer.
  void NoteAnswer(const std::string& request, bool idempotent, int status, bool own_body);
  /// A drain of `upstream` was acknowledged.
  void NoteDrainAcknowledged(const std::string& upstream);
  /// A request came to `upstream`; counted as broken when its drain was acknowledged longer ago
  /// than `bound` and no fault has struck since then.
  void NoteArrival(const std::string& upstream, base::Duration bound);
  /// An upstream ended under the one request that ends upstreams. Counted as broken when more than
  /// three follow later than some seconds after the third.
  void NoteEnd();
  /// A request came to an upstream that wants nothing. Counted as broken when more than two for
  /// each entry come later than half a second after the first.
  void NotePauseArrival(const std::string& upstream, base::MonotonicTime now);
  void set_entries(std::size_t entries) { entries_ = entries; }
  void NoteFault();
  void NoteCatalogAcknowledged(std::uint64_t version);
  /// A catalog was read; the read was sent when `acknowledged` was the newest acknowledged one.
  void NoteCatalogRead(std::uint64_t version, std::uint64_t acknowledged);
  std::uint64_t acknowledged_catalog() const;

  /// Starts to count for `Share`.
  void BeginMeasuring();
  /// Share of the answers since then that were successes.
  double served_share() const;

  std::vector<std::string> broken() const;
  std::string Summary() const;

 private:
  void Break(const std::string& what);

  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> refused_;
  std::map<std::string, base::MonotonicTime> drains_;
  base::MonotonicTime last_fault_;
  struct Pause {
    base::MonotonicTime began;
    std::size_t late_arrivals = 0;
  };
  std::size_t entries_ = 1;
  std::map<std::string, Pause> pauses_;
  int ends_ = 0;
  int late_ends_ = 0;
  base::MonotonicTime third_end_;
  std::uint64_t acknowledged_catalog_ = 0;
  std::map<int, int> statuses_;
  int measured_ = 0;
  int measured_served_ = 0;
  bool measuring_ = false;
  std::vector<std::string> broken_;
};

}  // namespace wagtailpick::soak
