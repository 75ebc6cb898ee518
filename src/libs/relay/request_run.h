#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/upstream_connection.h"
#include "placement/choice.h"
#include "relay/relay.h"

namespace wagtailpick::relay {

/// One request from its arrival to its answer.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(Relay& relay, std::shared_ptr<net::InboundRequest> inbound);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void Start();

 private:
  /// One sending of the request. A late answer lets a second one run beside the first.
  struct Leg {
    placement::Choice choice;
    /// The start of the upstream that the request was sent to.
    safety::UpstreamRun run;
    /// An upstream had ended under the request before.
    bool suspect = false;
    std::shared_ptr<net::UpstreamConnection> connection;
    base::MonotonicTime sent_at;
    /// Number of the sending, for the chooser.
    std::uint64_t sending = 0;
  };

  bool FindRoute();
  void Try();
  placement::Choice Choose();
  void Send(const placement::Choice& choice);
  void TakeResult(const std::shared_ptr<Leg>& leg, net::ExchangeResult result);
  void TakeAnswer(const Leg& leg, http::Response response);
  /// What the answer says of its upstream, whatever it means for the request.
  void NoteUpstream(const Leg& leg, const ClassifiedAnswer& judged);
  void TakeLoss(const Leg& leg, const net::ExchangeResult& result);
  void ExamineLoss(const Leg& leg);
  void TryAfterLoss();
  void StopForCrashes();
  bool IsBlocked();
  bool IsSuspect();
  const safety::Fingerprint& fingerprint();
  safety::UpstreamRun RunOf(const placement::Choice& choice) const;
  void EndExchange(const Leg& leg, placement::Outcome outcome, std::string_view result);
  void EndAllLegs(std::string_view result);
  void WaitForHedge(const placement::Choice& choice);
  void Hedge();
  bool MayTryAgain(bool known_not_run);
  bool HasTimeToTry() const;
  /// An upstream may have run it.
  void GiveUp(std::string_view reason = "may_have_run");
  void Expire();
  void ClientLeft();
  /// `back` is when the caller may come back; left out, it is worked out from the time left.
  void Refuse(std::string_view reason, std::optional<base::Duration> back = std::nullopt);
  std::optional<base::Duration> ReturnAfter(const placement::Choice& choice) const;
  void Finish(http::Response response, std::string_view outcome, std::string_view reason);
  void LogSent(const placement::Choice& choice, base::MonotonicTime now);
  void Log(logging::Level level, const std::string& event, const std::string& message,
           std::vector<logging::Field> fields);

  Relay& relay_;
  std::shared_ptr<net::InboundRequest> inbound_;
  /// The catalog that the request began with; a newer one doesn't change its route.
  std::shared_ptr<const catalog::Catalog> catalog_;
  RequestAttributes terms_;
  placement::PlacementRequest demand_;
  /// The last choice, for the log.
  placement::Choice choice_;
  std::vector<std::shared_ptr<Leg>> legs_;
  asio::steady_timer timer_;
  asio::steady_timer hedge_timer_;
  base::MonotonicTime deadline_;
  /// What upstreams see of the request; computed when it is first needed.
  std::optional<safety::Fingerprint> fingerprint_;
  /// Requests that reached an upstream, or may have.
  std::uint32_t sends_ = 0;
  std::uint32_t failed_connects_ = 0;
  /// An upstream may have run it.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace wagtailpick::relay
