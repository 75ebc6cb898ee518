#include "upstream.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace wagtailpick::review {
namespace {

constexpr double kHeartbeatS = 1.5;
constexpr double kCallTimeoutS = 1.0;
constexpr double kIdleTimeoutS = 10;
constexpr double kAcceptTimeoutS = 0.1;
constexpr double kStepS = 0.01;
constexpr double kDefaultDeadlineS = 600;
constexpr double kSendTimeoutS = 10;
constexpr const char* kKeepAlive = "timeout=10";

}  // namespace

Upstream::Upstream(Options options, Record& record)
    : options_(std::move(options)),
      record_(record),
      control_(std::hash<std::string>()(options_.id) % options_.controls.size()) {}

Upstream::~Upstream() { Stop(); }

bool Upstream::Start() {
  listener_ = Listen(options_.address);
  if (listener_ < 0) return false;
  acceptor_ = std::thread([this] { AcceptLoop(); });
  announcer_ = std::thread([this] { AnnounceLoop(); });
  return true;
}

void Upstream::Stop() {
  if (listener_ < 0 || stopping_.exchange(true)) return;
  announcer_.join();
  acceptor_.join();
  while (connections_ > 0) Sleep(kStepS);
  ::close(listener_);
}

void Upstream::AnnounceLoop() {
  double due = record_.Now();
  while (!stopping_) {
    if (record_.Now() >= due) {
      due = record_.Now() + kHeartbeatS;
      // A ping that isn't acknowledged is sent to the next node.
      for (std::size_t i = 0; i < options_.controls.size() && !stopping_; ++i) {
        if (SendPing(options_.controls[control_])) break;
        control_ = (control_ + 1) % options_.controls.size();
      }
    }
    Sleep(kStepS);
  }
}

bool Upstream::SendPing(const Address& to) {
  const std::string body =
      "{\"addr\":\"" + options_.address.ToString() + "\",\"born\":" + std::to_string(born_) +
      R"(,"info":{"service":")" + options_.service + R"(","version":"v1","zone":")" +
      options_.zone + "\",\"slots\":" + std::to_string(options_.slots) +
      R"(},"status":{"state":"ready","seq":)" + std::to_string(++sequence_) + ",\"coldLeftMs\":0}}";
  const auto result =
      Call(to, "POST", "/-/instances/" + options_.id + "/heartbeat",
           {{"Host", "control"}, {"Content-Type", "application/json"}}, body, kCallTimeoutS);
  if (result.status < 200 || result.status > 299) return false;
  announced_ = true;
  return true;
}

void Upstream::AcceptLoop() {
  while (!stopping_) {
    const int descriptor = Accept(listener_, kAcceptTimeoutS);
    if (descriptor < 0) continue;
    ++connections_;
    std::thread([this, descriptor] {
      ServeConnection(descriptor);
      --connections_;
    }).detach();
  }
}

void Upstream::ServeConnection(int descriptor) {
  Connection accepted(descriptor);
  Connection connection(std::move(accepted));
  double idle_since = record_.Now();
  std::size_t bytes_before = 0;
  while (!stopping_ && record_.Now() - idle_since < kIdleTimeoutS) {
    const auto request = connection.Read(kAcceptTimeoutS);
    if (!request && connection.ended()) return;
    if (!request) {
      // A request that is still coming in isn't idle.
      if (connection.bytes_left_over() > bytes_before) idle_since = record_.Now();
      bytes_before = connection.bytes_left_over();
      continue;
    }
    if (!Serve(connection, *request)) return;
    idle_since = record_.Now();
    bytes_before = 0;
  }
}

std::string Upstream::Load() {
  const std::lock_guard lock(mutex_);
  return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
         std::to_string(options_.slots);
}

bool Upstream::Reject(Connection& connection, int status) {
  Headers headers{{"Not-Run", "1"}, {"Server-Load", Load()}};
  if (status == 421) headers = {{"Instance-Id", options_.id}};
  return connection.Send(AnswerText(status, headers, ""), kSendTimeoutS);
}

bool Upstream::Serve(Connection& connection, const Message& request) {
  if (request.Target() == "/health") {
    const Headers headers{{"Instance-Id", options_.id}, {"Server-Load", Load()}};
    return connection.Send(AnswerText(200, headers, ""), kSendTimeoutS);
  }
  const std::string id = request.Header("Request-Id");
  const std::string expected = request.Header("Expect-Instance");
  if (!expected.empty() && expected != options_.id) return Reject(connection, 421);
  if (id.empty()) return Reject(connection, 400);
  const std::string budget = request.Header("Deadline-Ms");
  const double deadline =
      record_.Now() + (budget.empty() ? kDefaultDeadlineS : std::atof(budget.c_str()) / 1'000);
  if (!TakeSlot(deadline)) return Reject(connection, 503);
  RecordRun(id);
  const bool keep = Run(connection, request, deadline);
  ReleaseSlot();
  return keep;
}

void Upstream::RecordRun(const std::string& request_id) {
  ++runs_;
  {
    const std::lock_guard lock(mutex_);
    run_ids_.insert(request_id);
  }
  record_.Write("server " + options_.id + " runs " + request_id);
}

bool Upstream::HasRun(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  return run_ids_.contains(request_id);
}

bool Upstream::TakeSlot(double deadline) {
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots) {
    if (waiting_ >= options_.queue) return false;
    ++waiting_;
    const std::chrono::duration<double> left(std::max(deadline - record_.Now(), 0.0));
    const bool freed =
        slot_freed_.wait_for(lock, left, [this] { return running_ < options_.slots; });
    --waiting_;
    if (!freed) return false;
  }
  ++running_;
  return true;
}

void Upstream::ReleaseSlot() {
  const std::lock_guard lock(mutex_);
  --running_;
  slot_freed_.notify_one();
}

bool Upstream::Run(Connection& connection, const Message& request, double deadline) {
  const std::string id = request.Header("Request-Id");
  const double end = record_.Now() + (work ? work(request) : options_.work_s);
  while (record_.Now() < std::min(end, deadline) && !stopping_) {
    if (connection.PeerClosed()) {
      record_.Write("server " + options_.id + " drops " + id + ": its connection was closed");
      return false;
    }
    Sleep(std::min(kStepS, std::max(std::min(end, deadline) - record_.Now(), 0.0)));
  }
  const auto fault = choose_fault ? choose_fault(request) : Fault();
  if (fault) return fault(connection, request);
  const int status = record_.Now() < end ? 504 : 200;
  const Headers headers{{"Request-Id", id},
                        {"Server-Seal", "seal-" + options_.id + "-" + id},
                        {"Server-Load", Load()},
                        {"Keep-Alive", kKeepAlive}};
  record_.Write("server " + options_.id + " answers " + id + " with " + std::to_string(status));
  const std::size_t bytes = answer_bytes ? answer_bytes(request) : 0;
  const std::string body = bytes > 0 ? std::string(bytes, 'a') : "answer to " + id;
  return connection.Send(AnswerText(status, headers, body), kSendTimeoutS);
}

}  // namespace wagtailpick::review
