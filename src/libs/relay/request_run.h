#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
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
  bool FindRoute();
  void Try();
  void Send(const placement::Choice& choice);
  void TakeResult(net::ExchangeResult result);
  void TakeAnswer(http::Response response);
  void TakeLoss(const net::ExchangeResult& result);
  void EndExchange(placement::Outcome outcome, std::string_view result);
  bool MayTryAgain(bool known_not_run);
  void GiveUp();
  void Expire();
  void ClientLeft();
  void Refuse(std::string_view reason);
  void Finish(http::Response response, std::string_view outcome, std::string_view reason);
  void Log(logging::Level level, const std::string& event, const std::string& message,
           std::vector<logging::Field> fields);

  Relay& relay_;
  std::shared_ptr<net::InboundRequest> inbound_;
  /// The catalog that the request began with; a newer one doesn't change its route.
  std::shared_ptr<const catalog::Catalog> catalog_;
  CallerTerms terms_;
  placement::Demand demand_;
  placement::Choice choice_;
  std::shared_ptr<net::UpstreamConnection> connection_;
  asio::steady_timer timer_;
  base::MonotonicTime deadline_;
  base::MonotonicTime sent_at_;
  /// Requests that reached an upstream, or may have.
  std::uint32_t sends_ = 0;
  std::uint32_t failed_connects_ = 0;
  /// An upstream may have run it.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace wagtailpick::relay
