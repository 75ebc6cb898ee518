#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::soak {

/// Records what callers, upstreams and the operator observe and collects the promises that these
/// observations violate. Thread-safe.
class PromiseChecker {
 public:
  /// An upstream started to run a request. Violated if a request that is not idempotent runs twice
  /// or after it was refused.
  void RecordRun(const std::string& request, bool idempotent);
  /// A caller received an answer; `status` is 0 if there was none. Violated by the answer of
  /// another request, or by a refusal of a request that is not idempotent and has run.
  void RecordAnswer(const std::string& request, bool idempotent, int status, bool own_body);
  /// A drain of `upstream` was acknowledged.
  void RecordDrainAcknowledged(const std::string& upstream);
  /// `upstream` received a request. Violated if more than `bound` has passed since its drain was
  /// acknowledged and since the last fault.
  void RecordArrival(const std::string& upstream, base::Duration bound);
  /// An upstream crashed under the request that crashes upstreams. Violated if more than three
  /// crashes follow later than three seconds after the third.
  void RecordCrash();
  /// Whether the request that crashes upstreams has been blocked for long enough that it crashes no
  /// further one.
  bool CrashesHaveEnded() const;
  /// `upstream` received a request while it was backing off. Violated if more than two for each
  /// entry arrive later than half a second after the first and after the last fault.
  void RecordBackOffArrival(const std::string& upstream, base::MonotonicTime now);
  /// A run of an upstream named a limit in an answer.
  void RecordLimit(const std::string& upstream, double requests_per_second);
  /// A run of an upstream stops naming its limit.
  void RecordLimitEnded(const std::string& upstream);
  /// `upstream`, which named a limit, received a request. Violated if it gets more than one and a
  /// half times its limit and 5 requests in 4 s, counted from 3 s after it first named the limit or
  /// lowered it, and after the last fault of an entry.
  void RecordLimitedArrival(const std::string& upstream, base::MonotonicTime now);
  /// Checks that `upstream` received at least half of the requests that its limit allows since
  /// `since`.
  void CheckLimitUsed(const std::string& upstream, base::MonotonicTime since);
  /// A fault was injected into an entry; the time for limits starts again.
  void RecordEntryFault();
  /// Number of entries; scales the limit of `RecordBackOffArrival`.
  void set_entries(std::size_t entries) { entries_ = entries; }
  /// A fault was injected; the time limits for drains and back-off start again.
  void RecordFault();
  /// A control replica acknowledged a catalog.
  void RecordCatalogAcknowledged(std::uint64_t version);
  /// A catalog was read; `acknowledged` was the newest acknowledged version when the read was sent.
  /// Violated if `version` is older.
  void RecordCatalogRead(std::uint64_t version, std::uint64_t acknowledged);
  /// The newest acknowledged catalog version; 0 before the first.
  std::uint64_t acknowledged_catalog() const;

  /// Start and stop to count answers for `served_share`.
  void BeginMeasuring();
  void EndMeasuring();
  /// Fraction (0 to 1) of the counted answers with status 200; 0 without answers.
  double served_share() const;

  /// One message for each violation so far.
  std::vector<std::string> violations() const;
  /// One line: answers by status, crashes and the newest acknowledged catalog.
  std::string Summary() const;

 private:
  void AddViolation(const std::string& what);

  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> refused_;
  std::map<std::string, base::MonotonicTime> drains_;
  base::MonotonicTime last_fault_;
  struct BackOff {
    base::MonotonicTime started_at;
    std::size_t late_arrivals = 0;
  };
  std::size_t entries_ = 1;
  std::map<std::string, BackOff> back_offs_;
  struct Limit {
    double requests_per_second = 0;
    base::MonotonicTime named_at;
    std::vector<base::MonotonicTime> arrivals;
  };
  std::map<std::string, Limit> limits_;
  std::size_t most_limited_arrivals_ = 0;
  /// Part of the limit that `CheckLimitUsed` found used.
  double limit_used_ = 0;
  base::MonotonicTime last_entry_fault_;
  int crashes_ = 0;
  int late_crashes_ = 0;
  base::MonotonicTime third_crash_;
  std::uint64_t acknowledged_catalog_ = 0;
  std::map<int, int> statuses_;
  int measured_ = 0;
  int measured_served_ = 0;
  bool measuring_ = false;
  std::vector<std::string> violations_;
};

}  // namespace wagtailpick::soak
