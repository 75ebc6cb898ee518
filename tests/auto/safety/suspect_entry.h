#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_queue.h"
#include "safety/suspect_table.h"
#include "suspect_simulation.h"
#include "trial_register.h"

namespace wagtailpick::safety {

using claims::EventQueue;
using claims::RandomSource;

/// Outcome of a request. The owner sends it to the forwarding entry, which sends it to the caller.
enum class Outcome : std::uint8_t { kAnswer, kMayHaveRun, kNotRun, kBlocked };

struct Request {
  Fingerprint fingerprint{};
  /// Whether the request crashes every upstream that runs it.
  bool crashes_upstream = false;
  /// The claim register that the sending entry holds; empty for a request that is not suspect.
  std::string trial_key;
  std::int64_t deadline = 0;
  /// The upstream run that the sending entry chose. The owner sends to no other run, as the strike
  /// for a lost forward has to name the run that may have crashed.
  UpstreamRun run;
};

/// A simulated upstream.
struct Upstream {
  UpstreamRun run;
  /// Index of the entry that sends to this upstream.
  std::size_t owner = 0;
  /// Number of the last announcement.
  std::uint64_t announcement = 0;
  bool up = true;
  struct Running {
    Request request;
    std::function<void(Outcome)> reply;
  };
  std::vector<Running> running;
};

/// A simulated entry: checks requests, owns upstreams and broadcasts strikes to the other entries.
class SuspectEntry {
 public:
  using Reply = std::function<void(Outcome)>;

  /// The parts of the simulation that an entry uses.
  struct Environment {
    EventQueue& queue;
    RandomSource& random;
    const SuspectSimulationOptions& options;
    SuspectCounts& counts;
    TrialRegister& trials;
    std::vector<Upstream>& upstreams;
    std::vector<std::unique_ptr<SuspectEntry>>& entries;
    /// Starts the request at the upstream.
    std::function<void(Upstream&, const Request&, const Reply&)> run;
  };

  SuspectEntry(Environment environment, std::size_t index);

  void OnRequest(const Request& request, const Reply& reply);
  /// Handles the loss of the connections to an upstream while the requests `lost` were running.
  /// `announcement` is the number of its last announcement.
  void OnConnectionsLost(const UpstreamRun& run, std::uint64_t announcement,
                         const std::vector<Upstream::Running>& lost);
  void OnAnnouncement(const UpstreamRun& run, std::uint64_t announcement);
  /// Delays all messages to the entry. A second pause does not shorten the first: otherwise later
  /// messages would overtake the delayed ones.
  void Pause(std::int64_t pause_ms) {
    paused_until_ = std::max(paused_until_, env_.queue.now() + pause_ms);
  }
  /// Ends the entry, which starts again without its state after `down_ms`.
  void Kill(std::int64_t down_ms);
  /// Sends the reports that changed since the last call to all other entries.
  void ExchangeChanges();
  bool up() const { return up_; }
  bool IsSuspect(const Fingerprint& fingerprint);
  std::string session() const { return std::to_string(index_) + "/" + std::to_string(generation_); }

 private:
  /// Runs `task` in this entry, delayed while it is paused; drops the task if the entry is down.
  void Deliver(const EventQueue::Task& task);
  void Start();
  void ClaimTrial(const Request& request, const Reply& reply);
  void Forward(const Request& request, const Reply& reply);
  void OnForward(std::size_t from, std::size_t upstream, const Request& request,
                 const Reply& reply);
  void OnForwardLost(const LostConnection& lost, const Request& request, const Reply& reply);
  void OnDone(const Request& request, const UpstreamRun& run, Outcome outcome, const Reply& reply);
  /// Sends reports to all entries, and calls `then` after the broadcast timeout.
  void Broadcast(const std::vector<SuspectReport>& reports, const std::function<void()>& then);
  void SendReport(std::size_t entry, const SuspectReport& report, int sends_left);
  void OnReport(std::size_t from, const SuspectReport& report);
  std::int64_t wall() const { return env_.queue.now() + clock_offset_ms_; }

  Environment env_;
  std::size_t index_;
  std::int64_t clock_offset_ms_;
  std::optional<SuspectTable> table_;
  std::int64_t paused_until_ = 0;
  /// Counts restarts. Callbacks of an earlier generation are ignored.
  std::uint64_t generation_ = 0;
  bool up_ = true;
};

}  // namespace wagtailpick::safety
