#include "soak/stop_checker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailpick::soak {
namespace {

/// The users' rule for requests that are cut around a stop: a cut is allowed in the last sixth of
/// the grace time if the request was sent by `kExcusedUntil` and its upstream was at work then.
constexpr base::Duration kExcusedUntil = std::chrono::seconds(3);
constexpr int kLastPart = 6;
/// Difference between the clocks of a caller and an entry for the end of the caller's time.
constexpr base::Duration kDeadlineTolerance = std::chrono::milliseconds(50);

/// A request that no upstream got and whose connection closes later than this after its last byte
/// may have been read.
constexpr base::Duration kLossSlack = std::chrono::milliseconds(200);

std::string Millis(base::Duration duration) { return std::to_string(duration.count() / 1'000); }

}  // namespace

void StopChecker::RecordPassedOn(const std::string& request) {
  const std::lock_guard lock(mutex_);
  ++work_[request].started;
}

void StopChecker::RecordWorkEnded(const std::string& request) {
  const std::lock_guard lock(mutex_);
  auto& work = work_[request];
  ++work.ended;
  work.last_ended = base::MonotonicNow();
}

bool StopChecker::WasPassedOn(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  return work_.contains(request);
}

void StopChecker::RecordAttempt(Attempt attempt) {
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(attempt));
}

void StopChecker::RecordStop(std::size_t node) {
  const std::lock_guard lock(mutex_);
  stops_[node].push_back(base::MonotonicNow());
}

void StopChecker::RecordLateStop(std::size_t node) {
  const std::lock_guard lock(mutex_);
  ++late_stops_;
  wrong_ends_.push_back("process " + std::to_string(node) +
                        " was still there after its grace time");
}

void StopChecker::RecordWrongEnd(const std::string& what, std::size_t node, int exit_code) {
  const std::lock_guard lock(mutex_);
  wrong_ends_.push_back("process " + std::to_string(node) + " " + what + ", exit code " +
                        std::to_string(exit_code));
}

bool StopChecker::IsExcused(const Attempt& attempt, const Work& work) const {
  const auto& result = attempt.result;
  if (result.ended_at - result.sent_at >= attempt.deadline - kDeadlineTolerance) return true;
  const auto found = stops_.find(attempt.node);
  if (found == stops_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](base::MonotonicTime stop) {
    const auto last_part = stop + grace_ - grace_ / kLastPart;
    const bool in_last_part = result.ended_at >= last_part && result.ended_at <= stop + grace_;
    const bool was_at_work = work.started > work.ended || work.last_ended >= last_part;
    return in_last_part && was_at_work && result.sent_at <= stop + kExcusedUntil;
  });
}

StopChecker::Verdict StopChecker::Judge(const Attempt& attempt) const {
  if (attempt.result.end == CallEnd::kTimeout) return Verdict::kGivenUp;
  const bool answered = attempt.result.end == CallEnd::kAnswered;
  const auto found = work_.find(attempt.request);
  const bool can_be_sent_again = attempt.idempotent || found == work_.end();
  if (!answered && attempt.style.half_close && can_be_sent_again) return Verdict::kHalfClosed;
  if (found == work_.end()) return answered ? Verdict::kAnswered : Verdict::kUnread;
  const auto& work = found->second;
  const bool was_at_work = work.started > work.ended || work.last_ended > attempt.result.ended_at;
  if (answered && (attempt.from_upstream || !was_at_work)) return Verdict::kAnswered;
  return IsExcused(attempt, work) ? Verdict::kExcused : Verdict::kLost;
}

std::string StopChecker::SinceStop(std::size_t node, base::MonotonicTime time) const {
  const auto found = stops_.find(node);
  if (found == stops_.end() || found->second.front() > time) return {};
  const auto next = std::upper_bound(found->second.begin(), found->second.end(), time);
  return Millis(time - *std::prev(next));
}

std::string StopChecker::Describe(const Attempt& attempt) const {
  const auto& result = attempt.result;
  std::string text = "lost: " + attempt.request + " at process " + std::to_string(attempt.node) +
                     ", ended after " + Millis(result.ended_at - result.sent_at) + " ms";
  text += result.end == CallEnd::kAnswered
              ? " with status " + std::to_string(result.response.status) + " of the entry"
              : " without an answer";
  const auto sent = SinceStop(attempt.node, result.sent_at);
  const auto ended = SinceStop(attempt.node, result.ended_at);
  text += ", sent " + (sent.empty() ? "before any stop" : sent + " ms after SIGTERM");
  text += ", ended " + (ended.empty() ? "before any stop" : ended + " ms after SIGTERM");
  if (attempt.style.half_close) text += ", half-closed";
  if (attempt.style.chunked) text += ", in chunks";
  if (attempt.kept_connection) text += ", on a kept connection";
  return text;
}

std::vector<std::string> StopChecker::Violations() const {
  const std::lock_guard lock(mutex_);
  auto violations = wrong_ends_;
  for (const auto& attempt : attempts_) {
    if (Judge(attempt) == Verdict::kLost) violations.push_back(Describe(attempt));
  }
  return violations;
}

std::string StopChecker::Summary() const {
  const std::lock_guard lock(mutex_);
  std::map<Verdict, std::size_t> verdicts;
  for (const auto& attempt : attempts_) ++verdicts[Judge(attempt)];
  const auto count_if = [this](auto&& matches) {
    return std::to_string(std::count_if(attempts_.begin(), attempts_.end(), matches));
  };
  const auto closed_late = count_if([this](const Attempt& attempt) {
    const auto& result = attempt.result;
    return Judge(attempt) == Verdict::kUnread &&
           result.ended_at - result.sent_whole_at > kLossSlack;
  });
  std::size_t stops = 0;
  for (const auto& [node, times] : stops_) stops += times.size();
  return "stops " + std::to_string(stops) + " (" + std::to_string(late_stops_) + " late)  sent " +
         std::to_string(attempts_.size()) + ", " +
         count_if([](const Attempt& attempt) { return attempt.from_upstream; }) + " served, " +
         count_if([](const Attempt& attempt) { return attempt.kept_connection; }) +
         " on kept connections, " +
         count_if([](const Attempt& attempt) { return attempt.style.chunked; }) + " in chunks, " +
         count_if([](const Attempt& attempt) { return attempt.style.half_close; }) +
         " half-closed (" + std::to_string(verdicts[Verdict::kHalfClosed]) + " unanswered)  cut " +
         std::to_string(verdicts[Verdict::kLost] + verdicts[Verdict::kExcused]) + ", excused " +
         std::to_string(verdicts[Verdict::kExcused]) + ", closed unread " +
         std::to_string(verdicts[Verdict::kUnread]) + " (" + closed_late + " late), given up " +
         std::to_string(verdicts[Verdict::kGivenUp]);
}

}  // namespace wagtailpick::soak
