#pragma once

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "harness/cluster.h"

namespace wagtailpick::processes {

/// Callers that send charges continuously, each charge with its own idempotency key. They resend a
/// charge with its key through the next entry until it is answered as run or the attempts are used
/// up.
class ChargeLoad {
 public:
  /// Starts the callers, which use the entries with the given indexes. `name` is the prefix of
  /// every key.
  ChargeLoad(Cluster& cluster, const std::string& name,
             const std::vector<std::size_t>& entries = {0, 1, 2});
  ~ChargeLoad();
  ChargeLoad(const ChargeLoad&) = delete;
  ChargeLoad& operator=(const ChargeLoad&) = delete;

  /// Waits until `count` more charges have been answered as run; throws after `kWaitLimit`.
  void WaitForMore(std::size_t count) const;

  /// Stops the callers and waits for all their requests to end.
  void Stop();

  /// Throws unless, over all upstreams, each key ran at most once, each charge that was answered
  /// ran once and got its own answer, no attempt ran that was answered as `not_run`, no charge ran
  /// whose last answer is `not_run`, and no upstream ran more requests at once than it has slots.
  /// Call after `Stop`.
  void Check() const;

  /// Throws if any request was cut off, that is, ended without a complete answer or with
  /// `may_have_run` for the attempt. Call after `Stop`.
  void CheckNoneCutOff() const;

  /// Keys whose charge was answered as run.
  std::vector<std::string> AnsweredKeys() const;

  /// Body of the charge under `key`.
  static std::string BodyOf(const std::string& key) { return "charge " + key; }

 private:
  void RunCaller(std::size_t caller);
  void SendUntilAnswered(std::size_t caller, const std::string& key);
  void LogReasons() const;
  void CheckKey(const std::string& key, const std::vector<Answer>& answers, unsigned runs) const;

  Cluster& cluster_;
  const std::string name_;
  std::vector<std::string> entries_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> answered_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Answer>> answers_;
  /// Requests that were unanswered after the caller's timeout.
  std::vector<std::pair<std::string, std::future<Answer>>> unanswered_;
  std::vector<std::thread> callers_;
};

}  // namespace wagtailpick::processes
