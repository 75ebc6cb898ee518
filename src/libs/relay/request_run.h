#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/upstream_connection.h"
#include "placement/choice.h"
#include "relay/drain_policy.h"
#include "relay/relay.h"

namespace wagtailpick::relay {

/// Handles one caller's request from its arrival to its answer.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(Relay& relay, std::shared_ptr<net::InboundRequest> inbound);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void Start();
  /// Answers the request at once because the process exits. Returns false if it has ended already.
  bool EndBeforeExit();
  /// Refuses the request if it has not been sent yet, as the entry drains. Returns whether it did.
  bool RefuseUnsent();

 private:
  /// One sending of the request. A hedged request has two attempts at the same time.
  struct Attempt {
    placement::Choice choice;
    /// The upstream run that the request was sent to.
    safety::UpstreamRun run;
    /// An upstream had crashed during an earlier attempt of the same request.
    bool suspect = false;
    std::shared_ptr<net::UpstreamConnection> connection;
    base::MonotonicTime sent_at;
    /// Number that the chooser gave the attempt; passed back when the attempt ends.
    std::uint64_t attempt_number = 0;
    /// Bytes of the request may have reached the upstream: its connection was open.
    bool sent = false;
  };

  bool FindRoute();
  /// Chooses an upstream and sends the request to it, or refuses the request.
  void StartAttempt();
  placement::Choice Choose();
  void Send(const placement::Choice& choice);
  void StartExchange(const std::shared_ptr<Attempt>& attempt);
  /// Whether the request may still be sent on the connection that was opened for `attempt`.
  bool MaySend(const Attempt& attempt);
  /// Requests a token for the chosen upstream, which has a rate limit. Then sends the request or
  /// chooses again.
  void RequestToken(const placement::Choice& choice);
  /// `run` is the run for which the token was requested.
  void HandleToken(const placement::Choice& choice, const safety::UpstreamRun& run,
                   TokenOutcome outcome, base::Duration retry_in);
  void LogHeldBack(const placement::Choice& choice, std::int64_t started_unix_ms,
                   std::string_view token, base::Duration delay);
  void HandleResult(const std::shared_ptr<Attempt>& attempt, net::ExchangeResult result);
  void HandleAnswer(const Attempt& attempt, http::Response response);
  void EndAnsweredAttempt(const Attempt& attempt, const ClassifiedAnswer& classified);
  /// Sends the request again after an answer that is not final, or ends it.
  void HandleUnusedAnswer(const Attempt& attempt, const ClassifiedAnswer& classified,
                          http::Response response);
  /// Applies what the answer states about its upstream: load, leaving and back-off.
  void ApplyUpstreamStatus(const Attempt& attempt, const ClassifiedAnswer& classified);
  /// Logs the text of a value in an answer that could not be parsed, if there is one.
  void LogUnreadable(const std::string& event, const std::optional<std::string>& text,
                     const std::string& upstream);
  /// Handles an attempt that ended without an answer.
  void HandleLoss(const Attempt& attempt, const net::ExchangeResult& result);
  /// Lets the next attempt use the upstream of `attempt` again, on a new connection.
  void UseNewConnection(const Attempt& attempt);
  /// Finds out whether the upstream crashed, and retries if that is allowed.
  void ExamineLoss(const Attempt& attempt);
  void RetryAfterLoss();
  /// Finishes a request that is blocked because upstreams crashed while they ran it.
  void FinishBlocked();
  bool IsBlocked();
  bool IsSuspect();
  const safety::Fingerprint& fingerprint();
  safety::UpstreamRun RunOf(const placement::Choice& choice) const;
  void EndAttempt(const Attempt& attempt, placement::Outcome outcome, std::string_view result);
  void EndAllAttempts(std::string_view result);
  void ScheduleHedge(const placement::Choice& choice);
  void SendHedge();
  /// Whether the request may be sent again. Consumes retry budget if it may.
  bool TryAcquireRetry(bool known_not_run);
  bool HasTimeForAttempt() const;
  bool IsPastDeadline() const { return base::MonotonicNow() >= deadline_; }
  /// Answers 502. The request may have run, unless `reason` states otherwise.
  void Fail(std::string_view reason = "may_have_run");
  /// Answers 504 at the deadline, or 503 if no upstream can have run the request.
  void HandleTimeout();
  void HandleClientLeft();
  /// Handles a client that ended its stream: it has closed the connection, or waits for the answer.
  /// Refuses a request that has not run. Returns whether the request goes on.
  bool HandleClientStreamEnded();
  /// Answers 503: the request did not run. Answers 502 if an attempt may have run it or still runs.
  /// Without `retry_after`, the Retry-After header is derived from the time that the caller has
  /// left.
  void Refuse(std::string_view reason, std::optional<base::Duration> retry_after = std::nullopt);
  /// Returns when the caller may retry if all upstreams are backing off or hold requests back by
  /// their rate limits; otherwise nothing.
  std::optional<base::Duration> RetryAfterFor(const placement::Choice& choice) const;
  void Finish(http::Response response, std::string_view outcome, std::string_view reason);
  /// Adds the upstream that the choice passed over for its rate limit, if there is one.
  static void AddHeldBackFields(const placement::Choice& choice,
                                std::vector<logging::Field>& fields);
  /// Whether an upstream may have run the request, or runs it now.
  bool MayHaveRun() const;
  /// Answers a request that has not run, so that its caller goes to another entry at once.
  void RefuseStopping();
  /// Whether an attempt may start, in view of a drain of the entry.
  bool MayStartWhileDraining(const placement::Choice& choice);
  /// Adds how long the entry has been draining, and the last decision about an attempt.
  void AddDrainFields(std::vector<logging::Field>& fields) const;
  void LogSent(const placement::Choice& choice, base::MonotonicTime now);
  void Log(logging::Level level, const std::string& event, const std::string& message,
           std::vector<logging::Field> fields);

  Relay& relay_;
  /// The relay's list of running requests.
  std::shared_ptr<std::set<RequestRun*>> runs_;
  std::shared_ptr<net::InboundRequest> inbound_;
  /// The catalog at the request's arrival. A newer catalog does not change its route.
  std::shared_ptr<const catalog::Catalog> catalog_;
  RequestAttributes attributes_;
  placement::PlacementRequest placement_request_;
  /// The most recent choice, for the log.
  placement::Choice choice_;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  asio::steady_timer timer_;
  asio::steady_timer hedge_timer_;
  base::MonotonicTime deadline_;
  /// The last decision about an attempt while the entry drains.
  std::optional<DrainDecision> drain_decision_;
  /// Computed when it is first needed.
  std::optional<safety::Fingerprint> fingerprint_;
  /// Attempts that reached an upstream, or may have.
  std::uint32_t sends_ = 0;
  std::uint32_t failed_connects_ = 0;
  int token_requests_ = 0;
  /// An upstream may have run the request.
  bool may_have_run_ = false;
  /// The client has ended its stream, and may have left. No further attempt is made.
  bool client_stream_ended_ = false;
  bool finished_ = false;
};

}  // namespace wagtailpick::relay
