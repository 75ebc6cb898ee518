#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "base/monotonic_time.h"
#include "net/http_listener.h"
#include "relay/relay.h"

namespace wagtailpick::node {

/// The drain of an entry that was told to stop: decides when the process may exit. Not thread-safe.
class EntryDrain {
 public:
  /// Starts the drain. Calls `done` once all requests have ended, or shortly before `grace` has
  /// passed.
  EntryDrain(asio::io_context& loop, base::Duration grace, relay::Relay& relay,
             net::HttpListener& callers, std::function<void()> done);
  EntryDrain(const EntryDrain&) = delete;
  EntryDrain& operator=(const EntryDrain&) = delete;

  /// Closes idle connections and ends the drain when it is time for that. To be called several
  /// times a second.
  void Check(base::MonotonicTime now);

 private:
  void End(const std::string& cause);

  base::Duration grace_;
  relay::Relay& relay_;
  net::HttpListener& callers_;
  std::function<void()> done_;
  base::MonotonicTime started_;
  /// Ends the drain when the grace time is nearly over.
  asio::steady_timer grace_timer_;
};

}  // namespace wagtailpick::node
