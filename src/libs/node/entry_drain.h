#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "net/http_listener.h"
#include "relay/relay.h"

namespace wagtailpick::node {

/// The drain of an entry that was told to stop: decides when the process may exit. Not thread-safe.
class EntryDrain {
 public:
  /// The listeners that stop to accept before the drain ends.
  struct Listeners {
    net::HttpListener& callers;
    net::HttpListener& readiness;
  };

  /// Starts the drain. `signalled_at` is the earliest time at which the signal to stop can have
  /// come; the relay takes only requests that end within `grace` from then. Calls `done` once all
  /// requests have ended, or shortly before `grace` has passed since the drain started: those that
  /// run already get all the time that there may be. Without requests, callers that have looked up
  /// the address just before the drain started are still served, unless `grace` after
  /// `signalled_at` comes first.
  EntryDrain(asio::io_context& loop, base::MonotonicTime signalled_at, base::Duration grace,
             relay::Relay& relay, Listeners listeners, std::function<void()> done);
  EntryDrain(const EntryDrain&) = delete;
  EntryDrain& operator=(const EntryDrain&) = delete;

  /// Closes idle connections and ends the drain when it is time for that. To be called several
  /// times a second.
  void Check(base::MonotonicTime now);

 private:
  /// Refuses the requests that have not been sent when the process may be killed soon, counted from
  /// the signal: no attempt may start any more.
  void ScheduleRefusalOfUnsent();
  /// Answers the requests that still run, as the process exits soon.
  void EndRequests();
  /// Stops to accept, so that the kernel completes no connection that nobody would serve.
  void StopAccepting(const std::string& cause);
  /// Ends the drain once the connections that were just accepted have had time for a request and
  /// the last answers have been sent.
  void AwaitLastAnswers();
  void ScheduleLastAnswersCheck();
  void End();

  base::Duration grace_;
  relay::Relay& relay_;
  Listeners listeners_;
  std::function<void()> done_;
  base::MonotonicTime signalled_at_;
  /// When the signal was handled.
  base::MonotonicTime started_at_;
  base::MonotonicTime exit_at_;
  /// Set once the listeners have stopped to accept.
  std::optional<base::MonotonicTime> stopped_accepting_at_;
  std::string cause_;
  /// Requests that were answered because the process exits.
  std::size_t ended_requests_ = 0;
  /// Refuses unsent requests when the grace time from the signal is nearly over.
  asio::steady_timer unsent_timer_;
  /// Ends the drain when the grace time is nearly over.
  asio::steady_timer grace_timer_;
  asio::steady_timer last_answers_timer_;
};

}  // namespace wagtailpick::node
