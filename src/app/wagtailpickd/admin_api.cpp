#include "wagtailpickd/admin_api.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "entry/error_answer.h"
#include "entry/query.h"
#include "http/json_answer.h"
#include "rpc/client.h"

namespace wagtailpick::wagtailpickd {
namespace {

nlohmann::json ToJson(const timeline::Event& event) {
  return {{"wall_ms", event.stamp.wall_millis},
          {"counter", event.stamp.counter},
          {"sequence", event.sequence},
          {"vm", event.vm},
          {"event", timeline::ToString(event.kind)},
          {"subject", event.subject},
          {"detail", event.detail}};
}

}  // namespace

AdminApi::AdminApi(metrics::Registry& metrics, const timeline::EventRing& events)
    : metrics_(metrics), events_(events) {}

http::Response AdminApi::Answer(const http::Request& request) const {
  const std::string path = entry::PathOf(request.target);
  if (request.method != "GET") return entry::BadRequest("only GET is served here");
  if (path == "/metrics") {
    metrics_.GaugeAt("wagtailpick_rpc_sent_bytes")
        .Set(static_cast<std::int64_t>(rpc::Client::SentBytes()));
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.RenderText()};
  }
  if (path == "/v1/events") return AnswerEvents(request);
  return entry::NotFound("paths are /metrics and /v1/events");
}

http::Response AdminApi::AnswerEvents(const http::Request& request) const {
  const auto query = entry::ParseQuery(request.target);
  const auto after = query.find("after");
  const auto after_sequence =
      after == query.end() ? 0 : std::strtoull(after->second.c_str(), nullptr, 10);
  nlohmann::json events = nlohmann::json::array();
  for (const auto& event : events_.EventsAfter(after_sequence)) events.push_back(ToJson(event));
  const nlohmann::json body{{"events", events}, {"dropped", events_.dropped()}};
  auto answer = http::JsonAnswer(200, body);
  answer.headers.push_back({"Cache-Control", "no-store"});
  return answer;
}

}  // namespace wagtailpick::wagtailpickd
