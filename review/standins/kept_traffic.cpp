#include "kept_traffic.h"

#include <optional>
#include <utility>

namespace wagtailpick::review {

KeptTraffic::KeptTraffic(Options options, Deployment& deployment, Record& record)
    : options_(std::move(options)), deployment_(deployment), record_(record) {}

void KeptTraffic::Start() {
  for (std::size_t entry = 0; entry < deployment_.entries().size(); ++entry) {
    for (int i = 0; i < options_.clients_of_entry; ++i) {
      clients_.emplace_back([this, entry, i] { SendRequests(entry, i); });
    }
  }
}

void KeptTraffic::Stop() {
  stop_ = true;
  for (auto& client : clients_) client.join();
}

void KeptTraffic::SendRequests(std::size_t entry, int client) {
  const auto& route = options_.routes.at(static_cast<std::size_t>(client) % options_.routes.size());
  std::optional<Connection> connection;
  bool kept = false;
  Sleep(options_.pause_s * client / options_.clients_of_entry);
  while (!stop_) {
    if (!connection) {
      auto opened = Connection::Open(deployment_.Callers(entry), 1);
      if (opened) connection.emplace(std::move(*opened));
      kept = false;
    }
    if (connection) {
      auto attempt = SendRequest(*connection, deployment_.entries()[entry], route, NewId(),
                                 route.timeout_ms, "", record_);
      attempt.kept_connection = kept;
      kept = attempt.status != 0;
      if (!kept) connection.reset();
      const std::lock_guard lock(mutex_);
      attempts_.push_back(attempt);
    }
    Sleep(options_.pause_s);
  }
}

KeptTraffic::Result KeptTraffic::Judge(
    const std::function<bool(const std::string& id)>& ran_on_sound_server) {
  Result result;
  for (const auto& attempt : attempts_) {
    ++result.sent;
    if (attempt.status == 200 && attempt.whole) ++result.served;
    if (!attempt.kept_connection || !attempt.connection_ended) continue;
    if (!ran_on_sound_server(attempt.id)) continue;
    ++result.cut;
    record_.Write(
        "LOST: from a kept connection, passed on to a sound server, and ended without an answer: " +
        attempt.id + ", sent at " + std::to_string(attempt.sent_at));
  }
  for (const auto& name : deployment_.entries()) {
    record_.Write("process " + name + " has ended by itself " +
                  std::to_string(deployment_.OwnEnds(name)) + " times, most memory " +
                  std::to_string(deployment_.PeakMemoryMb(name)) + " MB");
  }
  record_.Write(std::to_string(result.sent) + " requests, " + std::to_string(result.served) +
                " served, " + std::to_string(result.cut) + " lost");
  return result;
}

}  // namespace wagtailpick::review
