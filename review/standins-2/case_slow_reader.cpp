// Clients that read the beginning of an answer, pause for 7 s, and read on. With TROUBLE=0 they
// don't pause.

#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "parts.h"

namespace review {
namespace {

constexpr int kClients = 8;
constexpr int kReceiveBytes = 65'536;
constexpr std::size_t kBodyBytes = 2'000'000;
constexpr int kDeadlineMs = 10'000;
constexpr long kPauseMillis = 7'000;
/// The rule allows three.
constexpr int kMaxLost = 3;

void ReadSlowly(Deployment& deployment, Record& record, int number, std::atomic<int>& lost) {
  const auto id = "photo-" + std::to_string(number);
  auto connection =
      Connection::Open(deployment.EntryIp(0), deployment.callers_port(), kReceiveBytes);
  if (!connection) return;
  // The connection is a kept one for the second request.
  const auto first = RequestHead("GET", "/photo/x", "first-" + id, kDeadlineMs) + "\r\n";
  if (!connection->Send(first) || !connection->Read(3'000)) return;
  const auto sent_at = SteadyMillis();
  if (!connection->Send(RequestHead("GET", "/photo/x", id, kDeadlineMs) + "\r\n")) return;
  const bool began = connection->Fill(3'000);
  if (WithTrouble()) SleepMillis(kPauseMillis);
  const auto answer = connection->Read(3'000);
  const bool complete = began && answer && answer->body.size() == kBodyBytes;
  if (!complete) ++lost;
  record.Write("request " + id + ": " +
               (complete ? "complete answer" : "no complete answer, " + connection->failure()) +
               ", " + std::to_string(SteadyMillis() - sent_at) + " ms after it was sent");
}

CaseEnd RunCase(const std::string& program, Record& record) {
  Deployment deployment(program, record, 3, 1);
  const auto config = ConfigOf(1, {{"photo", "/photo/", "safe", {{"album", 1}}, 10'000}});
  if (!StartAll(deployment, record, 3, 1, config)) return CaseEnd::kNotRun;
  ServerPart server(deployment, record, "i-1", "album", 0, {0, 1, 2});
  if (!server.listens() || !AwaitService(deployment, record, 0, "/photo/x")) {
    return CaseEnd::kNotRun;
  }
  server.set_body_bytes(kBodyBytes);
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { ReadSlowly(deployment, record, i, lost); });
    SleepMillis(50);
  }
  for (auto& client : clients) client.join();
  int ran = 0;
  for (int i = 0; i < kClients; ++i) ran += server.RunsOf("photo-" + std::to_string(i));
  record.Write("requests that the server ran and answered: " + std::to_string(ran) +
               "; without a complete answer at the client: " + std::to_string(lost) +
               " (LOST allows three)");
  if (ran == 0) return CaseEnd::kNotRun;
  return lost > kMaxLost ? CaseEnd::kBroken : CaseEnd::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " DAEMON RECORD\n";
    return static_cast<int>(review::CaseEnd::kNotRun);
  }
  review::Record record(argv[2]);
  return static_cast<int>(review::RunCase(argv[1], record));
}
