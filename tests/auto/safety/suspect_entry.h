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

/// What an entry tells the entry that forwarded a request, and that one its caller.
enum class Told : std::uint8_t { kAnswer, kMayHaveRun, kNotRun, kBlocked };

struct Request {
  Fingerprint fingerprint{};
  /// Crashes every upstream that runs it.
  bool is_deadly = false;
  /// The register that the sending entry won; empty for a request that isn't suspect.
  std::string trial_key;
  std::int64_t deadline = 0;
  /// The sending entry's choice; the owner sends to no other run of the upstream, as a strike for a
  /// lost forward has to name the right one.
  UpstreamRun run;
};

struct Upstream {
  UpstreamRun run;
  std::size_t owner = 0;
  std::uint64_t announcement = 0;
  bool up = true;
  struct Running {
    Request request;
    std::function<void(Told)> reply;
  };
  std::vector<Running> running;
};

/// An entry that rules on requests, owns upstreams and tells the others about strikes.
class SuspectEntry {
 public:
  using Reply = std::function<void(Told)>;

  struct Surroundings {
    EventQueue& queue;
    RandomSource& dice;
    const SuspectSimulationOptions& options;
    SuspectCounts& counts;
    TrialRegister& trials;
    std::vector<Upstream>& upstreams;
    std::vector<std::unique_ptr<SuspectEntry>>& entries;
    /// Starts the request at the upstream.
    std::function<void(Upstream&, const Request&, const Reply&)> run;
  };

  SuspectEntry(Surroundings surroundings, std::size_t index);

  void OnRequest(const Request& request, const Reply& reply);
  /// The connections to `upstream` are lost with these requests running.
  void OnConnectionsLost(const UpstreamRun& run, std::uint64_t announcement,
                         const std::vector<Upstream::Running>& lost);
  void OnAnnouncement(const UpstreamRun& run, std::uint64_t announcement);
  /// A second pause never ends the first: messages that wait would be overtaken by later ones.
  void Pause(std::int64_t pause_ms) {
    paused_until_ = std::max(paused_until_, s_.queue.now() + pause_ms);
  }
  void Kill(std::int64_t down_ms);
  void ExchangeChanges();
  bool up() const { return up_; }
  bool IsSuspect(const Fingerprint& fingerprint);
  std::string session() const { return std::to_string(index_) + "/" + std::to_string(life_); }

 private:
  /// Delivers a message to this process, in order of arrival when it is paused.
  void Do(const EventQueue::Task& task);
  void Start();
  void ClaimTrial(const Request& request, const Reply& reply);
  void Forward(const Request& request, const Reply& reply);
  void OnForward(std::size_t from, std::size_t upstream, const Request& request,
                 const Reply& reply);
  void OnForwardLost(const LostConnection& lost, const Request& request, const Reply& reply);
  void OnDone(const Request& request, const UpstreamRun& run, Told told, const Reply& reply);
  void Tell(const std::vector<SuspectReport>& reports, const std::function<void()>& then);
  void TellOne(std::size_t entry, const SuspectReport& report, int tries_left);
  void OnReport(std::size_t from, const SuspectReport& report);
  std::int64_t wall() const { return s_.queue.now() + clock_offset_ms_; }

  Surroundings s_;
  std::size_t index_;
  std::int64_t clock_offset_ms_;
  std::optional<SuspectTable> table_;
  std::int64_t paused_until_ = 0;
  std::uint64_t life_ = 0;
  bool up_ = true;
};

}  // namespace wagtailpick::safety
