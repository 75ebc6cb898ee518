#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "stops/client_connection.h"
#include "stops/traffic.h"

namespace wagtailpick::stops {

/// One attempt of a caller at an entry.
struct Attempt {
  std::string id;
  const Traffic* traffic = nullptr;
  std::string address;
  bool kept_connection = false;
  bool chunked = false;
  bool slow = false;
  bool half_closed = false;
  bool repeated = false;
  base::MonotonicTime began_at;
  base::MonotonicTime ended_at;
  /// The time that the caller gave the attempt.
  base::Duration time{};
  ExchangeResult result;
  int status = 0;
};

/// What became of one request over all its attempts.
enum class Outcome { kInAim, kLate, kRefused, kFailed };

/// The attempts and outcomes of all callers of a run.
class CallLog {
 public:
  void Add(Attempt attempt);
  void Add(const Traffic& traffic, Outcome outcome);
  std::vector<Attempt> attempts() const;
  int count(const Traffic& traffic, Outcome outcome) const;

 private:
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
  /// For each kind of `kTraffic`, the number of requests with each outcome.
  std::array<std::array<int, 4>, kTraffic.size()> outcomes_{};
};

/// Settings that all callers of a run share.
struct CallerOptions {
  std::vector<std::string> directories;
  /// Fraction of the requests after which callers close their sending side.
  double half_close = 0;
  std::function<bool(const std::string& request_id)> has_arrived;
  /// Called with the address of an entry when an answer of it begins.
  std::function<void(const std::string& address)> on_answer_began;
};

/// A caller that sends one request at a time until `stopping`, on a kept connection while its
/// address is in the latest directory answer.
class Caller {
 public:
  Caller(std::size_t number, std::uint64_t seed, const CallerOptions& options, CallLog& log);
  void Run(const std::atomic<bool>& stopping);

 private:
  void CallOnce();
  Attempt Send(const Traffic& traffic, const std::string& target, base::MonotonicTime end,
               bool repeated);
  std::vector<std::string> Render(const Attempt& attempt, const std::string& target);
  void RefreshDirectory();
  /// Returns whether a connection is there; `fresh` demands a new one.
  bool EnsureConnection(bool fresh, Attempt& attempt);
  bool MayRepeat(const Attempt& attempt) const;
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::size_t number_;
  std::mt19937_64 random_;
  const CallerOptions& options_;
  CallLog& log_;
  /// How many times its lifetime an answer of the directory is used for.
  int lifetime_factor_;
  std::vector<std::string> addresses_;
  std::set<std::string> failed_addresses_;
  base::MonotonicTime directory_due_;
  std::unique_ptr<ClientConnection> connection_;
  int sent_ = 0;
};

}  // namespace wagtailpick::stops
