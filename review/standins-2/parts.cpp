#include "parts.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <numeric>
#include <utility>

namespace review {
namespace {

constexpr long kHeartbeatMillis = 1'500;
constexpr int kIdleMillis = 10'000;
/// Traffic starts this long after the machines, as the pages say; all are in touch by then.
constexpr long kLeadMillis = 8'000;

std::string ServiceResource(const std::string& name) {
  return R"({"type":"services","meta":{"name":")" + name +
         R"("},"spec":{"healthPath":"/health","maxConns":390,"proto":"h1","tls":false,)" +
         R"("coldStartS":3.0,"coldPerS":7.4}})";
}

std::string TargetsOf(const RoutePart& route) {
  if (route.targets.size() == 1) return R"("service":")" + route.targets.front().first + R"(")";
  std::string text = R"("split":[)";
  for (std::size_t i = 0; i < route.targets.size(); ++i) {
    const auto& [service, weight] = route.targets[i];
    text += std::string(i == 0 ? "" : ",") + R"({"service":")" + service + R"(","weight":)" +
            std::to_string(weight) + "}";
  }
  return text + "]";
}

std::string RouteResource(const RoutePart& route) {
  return R"({"type":"routes","meta":{"name":")" + route.name +
         R"("},"spec":{"host":"shop.example","pathPrefix":")" + route.path_prefix +
         R"(","kind":")" + route.kind + R"(","timeoutMs":)" + std::to_string(route.timeout_ms) +
         R"(,"goalMs":300,"priority":2,)" + TargetsOf(route) +
         R"(,"attempts":2,"sticky":false,"homeRegions":[]}})";
}

}  // namespace

std::string ConfigOf(int version, const std::vector<RoutePart>& routes) {
  std::map<std::string, bool> services;
  std::string resources;
  for (const auto& route : routes) {
    resources += RouteResource(route) + ",";
    for (const auto& [service, weight] : route.targets) services[service] = weight > 0;
  }
  for (const auto& [service, used] : services) resources += ServiceResource(service) + ",";
  resources +=
      R"({"type":"limits","meta":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  return R"({"version":)" + std::to_string(version) + R"(,"resources":[)" + resources + "]}";
}

ServerPart::ServerPart(Deployment& deployment, Record& record, std::string id, std::string service,
                       int index, std::vector<int> controls)
    : deployment_(deployment),
      record_(record),
      id_(std::move(id)),
      service_(std::move(service)),
      index_(index),
      controls_(std::move(controls)),
      listener_(ListenOn(deployment.ServerIp(index), deployment.server_port())) {
  acceptor_ = std::thread([this] { Accept(); });
  announcer_ = std::thread([this] { Announce(); });
}

ServerPart::~ServerPart() {
  stopping_ = true;
  if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  announcer_.join();
  if (listener_ >= 0) close(listener_);
}

void ServerPart::set_controls(const std::vector<int>& controls) {
  const std::lock_guard lock(mutex_);
  controls_ = controls;
}

int ServerPart::RunsOf(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(request_id);
  return found == runs_.end() ? 0 : found->second;
}

void ServerPart::Accept() {
  while (!stopping_) {
    const int socket = accept(listener_, nullptr, nullptr);
    if (socket < 0) {
      SleepMillis(20);
      continue;
    }
    // The thread ends with its connection, at the latest with the process.
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void ServerPart::Serve(int socket) {
  Connection connection(socket);
  while (!stopping_) {
    const auto request = connection.Read(kIdleMillis);
    if (!request) return;
    const auto answer = AnswerTo(*request);
    std::string head = "HTTP/1.1 " + answer.first_line + "\r\n";
    for (const auto& [name, value] : answer.headers) head.append(name + ": " + value + "\r\n");
    head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    if (!connection.Send(head + answer.body)) return;
  }
}

Message ServerPart::AnswerTo(const Message& request) {
  const auto id = request.Header("request-id");
  if (request.Header("expect-instance") != id_) {
    return {"421 Misdirected Request", {{"Request-Id", id}, {"Instance-Id", id_}}, ""};
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  record_.Write("server " + id_ + " runs " + request.method() + " " + request.target() +
                ", request " + id + ", body of " + std::to_string(request.body.size()) + " bytes");
  const std::size_t bytes = body_bytes_;
  return {"200 OK",
          {{"Request-Id", id}, {"Server-Seal", "seal-" + id}, {"Server-Load", "0,0,4"}},
          bytes == 0 ? "answer to " + id : std::string(bytes, 'x')};
}

void ServerPart::Announce() {
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  for (int seq = 1; !stopping_; ++seq) {
    std::vector<int> controls;
    {
      const std::lock_guard lock(mutex_);
      controls = controls_;
    }
    const std::string body = R"({"addr":")" + deployment_.ServerIp(index_) + ":" +
                             std::to_string(deployment_.server_port()) + R"(","born":)" +
                             std::to_string(born) + R"(,"info":{"service":")" + service_ +
                             R"(","version":"v1","zone":"atl-a","slots":4},"status":)" +
                             R"({"state":"ready","seq":)" + std::to_string(seq) +
                             R"(,"coldLeftMs":0}})";
    CallControl(deployment_, controls, "POST", "/-/instances/" + id_ + "/heartbeat", body, 1'500);
    for (long waited = 0; waited < kHeartbeatMillis && !stopping_; waited += 50) SleepMillis(50);
  }
}

std::string RequestHead(const std::string& method, const std::string& path, const std::string& id,
                        int deadline_ms) {
  return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

Message SendRequest(Deployment& deployment, int entry, const std::string& method,
                    const std::string& path, const std::string& id, int deadline_ms) {
  auto connection = Connection::Open(deployment.EntryIp(entry), deployment.callers_port());
  if (!connection) return {};
  if (!connection->Send(RequestHead(method, path, id, deadline_ms) + "\r\n")) return {};
  return connection->Read(deadline_ms).value_or(Message());
}

bool StartAll(Deployment& deployment, Record& record, int controls, int entries,
              const std::string& config) {
  std::vector<int> all(static_cast<std::size_t>(controls));
  std::iota(all.begin(), all.end(), 0);
  for (const int control : all) {
    deployment.WriteControl(control, all, true);
    deployment.StartControl(control);
  }
  for (int entry = 0; entry < entries; ++entry) {
    deployment.WriteEntry(entry, all);
    deployment.StartEntry(entry);
  }
  const auto answer = CallControl(deployment, all, "POST", "/-/config/put", config, 15'000);
  record.Write("the first config is answered " + std::to_string(answer.status()));
  if (answer.status() != 200) return false;
  for (int entry = 0; entry < entries; ++entry) {
    if (deployment.AwaitReady(entry, 15'000)) continue;
    record.Write("entry " + std::to_string(entry) + " does not get ready");
    return false;
  }
  SleepMillis(std::max(0L, kLeadMillis - record.Millis()));
  return true;
}

bool AwaitService(Deployment& deployment, Record& record, int entry, const std::string& path) {
  for (int i = 0; i < 50; ++i) {
    const auto id = "first-" + std::to_string(entry) + "-" + std::to_string(i);
    if (SendRequest(deployment, entry, "GET", path, id, 2'000).status() == 200) return true;
    SleepMillis(200);
  }
  record.Write("no request to " + path + " is served");
  return false;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
