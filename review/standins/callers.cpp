#include "callers.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailpick::review {
namespace {

constexpr double kCallTimeoutS = 1.0;
constexpr double kFirstBackOffS = 0.05;
constexpr double kMaxBackOffS = 0.5;
constexpr double kConnectTimeoutS = 1.0;
constexpr int kMaxRedirects = 2;
/// How long a client waits for bytes beyond its time budget.
constexpr double kExtraWaitS = 1.0;
/// Objects that requests concern.
constexpr std::size_t kObjects = 57;

std::string RouteText(const RouteOptions& route) {
  return R"({"type":"routes","meta":{"name":")" + route.name + R"("},"spec":{"host":")" + kHost +
         R"(","pathPrefix":")" + route.prefix + R"(","kind":")" + route.kind +
         "\",\"timeoutMs\":" + std::to_string(route.timeout_ms) +
         ",\"goalMs\":" + std::to_string(route.goal_ms) + R"(,"priority":1,"service":")" +
         route.service + "\",\"attempts\":" + std::to_string(route.attempts) +
         R"(,"sticky":true,"homeRegions":[]}},)";
}

std::string ServiceText(const std::string& name) {
  return R"({"type":"services","meta":{"name":")" + name +
         R"("},"spec":{"healthPath":"/health","maxConns":330,"proto":"h1","tls":false,)"
         R"("coldStartS":3.0,"coldPerS":2.6}},)";
}

/// Returns the address in the value of a Location header.
Address HostOf(const std::string& location) {
  const std::string rest = location.substr(std::min<std::size_t>(location.size(), 7));
  const auto colon = rest.find(':');
  if (colon == std::string::npos) return {};
  return {rest.substr(0, colon), std::atoi(rest.c_str() + colon + 1)};
}

CallResult CallWithRedirects(Address to, const std::string& method, const std::string& target,
                             const std::string& body) {
  const Headers headers{{"Host", "control"}, {"Content-Type", "application/json"}};
  CallResult result;
  for (int i = 0; i <= kMaxRedirects; ++i) {
    result = Call(to, method, target, headers, body, kCallTimeoutS);
    if (result.status != 307) break;
    to = HostOf(result.answer.Header("Location"));
  }
  return result;
}

}  // namespace

std::string ConfigText(int version, const std::vector<RouteOptions>& routes) {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"resources\":[";
  std::set<std::string> services;
  for (const auto& route : routes) {
    text += RouteText(route);
    services.insert(route.service);
  }
  for (const auto& service : services) text += ServiceText(service);
  return text +
         R"({"type":"limits","meta":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
}

int SendOrder(const std::vector<Address>& controls, const std::string& method,
              const std::string& target, const std::string& body, double timeout_s, Record& record,
              std::string* answer) {
  const double end = record.Now() + timeout_s;
  double back_off = kFirstBackOffS;
  int status = 0;
  for (std::size_t next = 0; record.Now() < end; ++next) {
    const auto result = CallWithRedirects(controls[next % controls.size()], method, target, body);
    status = result.status;
    if (status >= 200 && status < 500 && status != 307 && status != 408 && status != 429) {
      if (answer != nullptr) *answer = result.answer.body;
      record.Write("operator: " + method + " " + target + " -> " + std::to_string(status));
      return status;
    }
    Sleep(back_off);
    back_off = std::min(back_off * 2, kMaxBackOffS);
  }
  record.Write("operator: " + method + " " + target + " -> no clear answer in " +
               std::to_string(timeout_s) + " s, last status " + std::to_string(status));
  return status;
}

Attempt SendRequest(Connection& connection, const std::string& entry, const RouteOptions& route,
                    const std::string& id, int deadline_ms, const std::string& request_body,
                    Record& record, double bytes_per_s) {
  const bool is_safe = route.kind == "safe" && request_body.empty();
  Attempt attempt;
  attempt.id = id;
  attempt.sent_at = record.Now();
  const Headers headers{
      {"Host", kHost},
      {"Request-Id", id},
      {"Cookie", "Affinity-Key=" + std::to_string(std::hash<std::string>()(id) % kObjects)},
      {"Deadline-Ms", std::to_string(deadline_ms)}};
  const double wait = deadline_ms / 1'000.0 + kExtraWaitS;
  const bool sent = connection.Send(
      RequestText(is_safe ? "GET" : "POST", route.prefix + "2f", headers, request_body), wait,
      bytes_per_s);
  const auto answer = sent ? connection.Read(wait) : std::nullopt;
  attempt.ended_at = record.Now();
  if (answer) {
    attempt.status = answer->Status();
    attempt.whole = answer->body == "answer to " + id;
  }
  attempt.connection_ended = !answer && (!sent || connection.ended());
  const std::string what = answer                     ? std::to_string(attempt.status)
                           : attempt.connection_ended ? "the connection ended without an answer"
                                                      : "no answer in time";
  record.Write("client: " + id + " (" + route.kind + ") at " + entry + " -> " + what + " after " +
               std::to_string(static_cast<int>((attempt.ended_at - attempt.sent_at) * 1'000)) +
               " ms");
  return attempt;
}

std::string NewId() {
  static std::atomic<std::uint64_t> next = 1;
  static const auto start = static_cast<std::uint64_t>(UnixMillis());
  return "r" + std::to_string(start % 1'000'000) + "-" + std::to_string(next++);
}

bool WaitUntilReady(const Address& readiness, double timeout_s) {
  const auto end = UnixMillis() + static_cast<std::int64_t>(timeout_s * 1'000);
  while (UnixMillis() < end) {
    const auto result =
        Call(readiness, "GET", "/-/ready", {{"Host", "ready"}}, "", kConnectTimeoutS);
    if (result.status == 200) return true;
    Sleep(kFirstBackOffS);
  }
  return false;
}

}  // namespace wagtailpick::review
