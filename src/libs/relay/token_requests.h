#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

#include "limits/token_issuer.h"

namespace wagtailpick::relay {

/// Outcome of a request for a token.
enum class TokenOutcome : std::uint8_t {
  kGranted,
  kDenied,
  /// No answer arrived in time.
  kUnanswered,
  /// No replica could be asked.
  kNoReplica,
};

/// Returns the value as it appears in logs and metrics.
std::string_view ToString(TokenOutcome outcome);

/// Requests tokens for limited upstreams from the replicas and waits a short time for each answer.
/// Not thread-safe.
class TokenRequests {
 public:
  /// Sends a request to the replica that issues the upstream's tokens. Returns false if none can be
  /// reached.
  using Sender = std::function<bool(const limits::TokenRequest& request)>;
  /// `retry_in` is set with `kDenied`: time until a token can be issued.
  using Done = std::function<void(TokenOutcome outcome, base::Duration retry_in)>;

  explicit TokenRequests(asio::io_context& loop) : loop_(loop) {}

  /// Sets how requests are sent. Without it, no replica can be asked.
  void set_sender(Sender sender) { sender_ = std::move(sender); }

  /// Requests a token. `done` is called once, before `Request` returns if no replica can be asked.
  void Request(const limits::LimitReport& limit, bool urgent, Done done);
  /// Handles the answer of a replica. A late one is ignored, and its token is lost.
  void HandleAnswer(const limits::TokenAnswer& answer);

 private:
  struct Pending {
    std::shared_ptr<asio::steady_timer> timer;
    Done done;
  };

  void Complete(std::uint64_t id, TokenOutcome outcome, base::Duration retry_in);

  asio::io_context& loop_;
  Sender sender_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace wagtailpick::relay
