#include "wagtailpick/timeline_command.h"

#include <algorithm>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tuple>

#include "http/client.h"
#include "wagtailpick/exit_codes.h"

namespace wagtailpick::tool {
namespace {

using nlohmann::json;

constexpr base::Duration kFetchTimeout = std::chrono::seconds(3);

/// Returns the events of one daemon. Fails with `kUnavailable` if it does not answer with events.
base::Result<json> FetchEvents(http::Client& client, const std::string& address) {
  http::ClientRequest request;
  request.method = "GET";
  request.url = "http://" + address + "/v1/events";
  request.timeout = kFetchTimeout;
  std::promise<http::Exchange> promise;
  auto future = promise.get_future();
  client.Send(std::move(request),
              [&](http::Exchange exchange) { promise.set_value(std::move(exchange)); });
  const http::Exchange exchange = future.get();
  const json body = json::parse(exchange.body, nullptr, false);
  const bool is_usable = exchange.status == http::ExchangeStatus::kComplete &&
                         exchange.answer_status == 200 && body.is_object() &&
                         body.contains("events");
  if (!is_usable) {
    return base::Fail(base::ErrorCode::kUnavailable,
                      address + ": cannot fetch events: " + exchange.error);
  }
  return body;
}

/// Orders events by time stamp, then by VM and sequence number.
bool Precedes(const json& a, const json& b) {
  const auto key = [](const json& event) {
    return std::make_tuple(event.value("wall_ms", std::int64_t{0}), event.value("counter", 0U),
                           event.value("vm", ""), event.value("sequence", std::uint64_t{0}));
  };
  return key(a) < key(b);
}

void Print(const json& event, bool as_json) {
  if (as_json) {
    std::cout << event << "\n";
    return;
  }
  std::cout << event.value("wall_ms", std::int64_t{0}) << "." << event.value("counter", 0U) << " "
            << event.value("vm", "") << " " << event.value("event", "") << " "
            << event.value("subject", "") << " " << event.value("detail", "") << "\n";
}

}  // namespace

int ShowTimeline(const std::vector<std::string>& admin, bool as_json) {
  auto client = http::Client::Start({});
  if (!client) {
    std::cerr << "wagtailpick: " << client.error().message << "\n";
    return kExitRefused;
  }
  int exit_code = kExitDone;
  std::vector<json> events;
  for (const auto& address : admin) {
    const auto body = FetchEvents(*client.value(), address);
    if (!body) {
      std::cerr << "wagtailpick: " << body.error().message << "\n";
      exit_code = kExitRefused;
      continue;
    }
    for (const auto& event : body.value()["events"]) events.push_back(event);
    const auto dropped = body.value().value("dropped", std::uint64_t{0});
    if (dropped > 0) std::cerr << address << ": " << dropped << " older events were dropped\n";
  }
  std::sort(events.begin(), events.end(), Precedes);
  for (const auto& event : events) Print(event, as_json);
  return exit_code;
}

}  // namespace wagtailpick::tool
