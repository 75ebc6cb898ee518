#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "soak/client_connection.h"

namespace wagtailpick::soak {

/// One request as its caller saw it.
struct Attempt {
  std::string request;
  /// Number of the process that took it.
  std::size_t node = 0;
  bool idempotent = false;
  SendStyle style;
  /// Whether the connection had served a request before.
  bool kept_connection = false;
  CallResult result;
  /// Whether the answer is the upstream's.
  bool from_upstream = false;
  base::Duration deadline{0};
};

/// Collects what callers, upstreams and the platform see around planned stops, and decides
/// afterwards which requests were lost and which processes ended in a wrong way. Thread-safe.
class StopChecker {
 public:
  /// `grace` is the time between SIGTERM and SIGKILL.
  explicit StopChecker(base::Duration grace) : grace_(grace) {}

  /// An upstream received a request and will run it.
  void RecordPassedOn(const std::string& request);
  /// An upstream answers a request that was passed on to it.
  void RecordWorkEnded(const std::string& request);
  /// Whether an upstream has received `request`.
  bool WasPassedOn(const std::string& request) const;

  void RecordAttempt(Attempt attempt);
  /// SIGTERM was sent to a process.
  void RecordStop(std::size_t node);
  /// A process that was sent SIGTERM was still there after the grace time and was killed.
  void RecordLateStop(std::size_t node);
  /// A process ended with an exit code, or with the negated number of a signal, that it should not
  /// have ended with.
  void RecordWrongEnd(const std::string& what, std::size_t node, int exit_code);

  /// One message for each violation. Call it after the last request has ended.
  std::vector<std::string> Violations() const;
  /// One line of counts.
  std::string Summary() const;

 private:
  enum class Verdict : std::uint8_t {
    kAnswered,
    kGivenUp,
    /// The connection closed and no upstream got the request.
    kUnread,
    /// The client had closed its sending half and got no answer, though nothing was lost: the
    /// request can be sent again.
    kHalfClosed,
    kExcused,
    kLost,
  };
  struct Work {
    int started = 0;
    int ended = 0;
    base::MonotonicTime last_ended;
  };

  Verdict Judge(const Attempt& attempt) const;
  /// Whether the rules for planned stops allow that the request was cut.
  bool IsExcused(const Attempt& attempt, const Work& work) const;
  std::string Describe(const Attempt& attempt) const;
  /// Milliseconds from the last SIGTERM to the process before `time`; empty if there was none.
  std::string SinceStop(std::size_t node, base::MonotonicTime time) const;

  const base::Duration grace_;
  mutable std::mutex mutex_;
  std::map<std::string, Work> work_;
  std::vector<Attempt> attempts_;
  std::map<std::size_t, std::vector<base::MonotonicTime>> stops_;
  std::size_t late_stops_ = 0;
  std::vector<std::string> wrong_ends_;
};

}  // namespace wagtailpick::soak
