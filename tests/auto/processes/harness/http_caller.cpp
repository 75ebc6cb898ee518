#include "harness/http_caller.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <utility>

#include "harness/expect.h"

namespace wagtailpick::processes {
namespace {

std::string HeaderOf(const http::Exchange& exchange, const std::string& name) {
  const std::string* value = http::FindHeader(exchange.headers, name);
  return value == nullptr ? std::string() : *value;
}

Answer ToAnswer(http::Exchange exchange) {
  static std::atomic<std::uint64_t> ended = 0;
  Answer answer;
  answer.order = ++ended;
  answer.whole = exchange.status == http::ExchangeStatus::kComplete;
  answer.sent = exchange.status != http::ExchangeStatus::kNotSent;
  if (!answer.whole) return answer;
  answer.status = exchange.answer_status;
  answer.verdict = HeaderOf(exchange, "X-Wagtailpick-Verdict");
  answer.request_id = HeaderOf(exchange, "X-Wagtailpick-Request-Id");
  answer.replayed = HeaderOf(exchange, "X-Wagtailpick-Replayed") == "true";
  answer.has_retry_after = !HeaderOf(exchange, "Retry-After").empty();
  answer.body = std::move(exchange.body);
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  if (!json.is_object()) return answer;
  answer.reason = json.value("reason", "");
  answer.attempt_verdict = json.value("attempt_verdict", "");
  return answer;
}

}  // namespace

std::string Answer::Text() const {
  if (!whole) return "no complete answer";
  return std::to_string(status) + " " + verdict + " " + reason + (replayed ? " replayed: " : ": ") +
         body;
}

HttpCaller::HttpCaller() {
  auto client = http::Client::Start({});
  Expect(client.has_value(), "can't start the HTTP client");
  client_ = std::move(client.value());
}

std::future<Answer> HttpCaller::Start(const CallerRequest& request) const {
  http::ClientRequest wire;
  wire.method = request.method;
  wire.url = "http://" + request.address + request.target;
  wire.headers = request.headers;
  wire.body = request.body;
  wire.timeout = request.timeout;
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  const bool started = client_->Send(std::move(wire), [promise](http::Exchange exchange) {
    promise->set_value(ToAnswer(std::move(exchange)));
  });
  Expect(started, "the HTTP client is overloaded");
  return future;
}

Answer HttpCaller::Get(const std::string& address, const std::string& target) const {
  CallerRequest request;
  request.address = address;
  request.target = target;
  return Send(request);
}

std::future<Answer> HttpCaller::StartCharge(const std::string& entry, const std::string& key,
                                            const std::string& body) const {
  CallerRequest request;
  request.method = "POST";
  request.address = entry;
  request.target = "/s/payment/pay";
  request.headers = {{"Idempotency-Key", key}};
  request.body = body;
  return Start(request);
}

}  // namespace wagtailpick::processes
