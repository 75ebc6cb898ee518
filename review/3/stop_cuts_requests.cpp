#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../standins/callers.h"
#include "../standins/deployment.h"
#include "../standins/upstream.h"

// An entry gets SIGTERM. Clients that still hold the directory's answer send it requests until 5 s
// after the signal. No other disruption.

namespace {

using namespace wagtailpick::review;  // NOLINT(google-build-using-namespace)

constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr double kStartTimeoutS = 20;
/// contactMs and a second: the time without any disruption before the first request that counts.
constexpr double kCalmS = 4;
constexpr double kGraceS = 6;
/// Requests that were sent up to this time after the signal are excused if their server is still at
/// work in the last sixth of the grace time. Those sent later are not.
constexpr double kExcusedUntilS = 3;
/// Clients send from 0 to this time after the signal, one request each `kSendEveryS`.
constexpr double kFirstSentS = 0.05;
constexpr double kSendUntilS = 5;
constexpr double kSendEveryS = 0.1;
/// Work of a photo: twice the 1.6 s of the page, as on a cold server. Work of a payment: the most
/// that the site file has.
constexpr double kPhotoWorkS = 3.2;
constexpr double kPayWorkS = 2.5;
constexpr int kPayBudgetMs = 4'000;
constexpr int kPhotoBudgetMs = 8'000;
constexpr int kServers = 24;

struct Sent {
  Attempt attempt;
  /// Seconds between the signal and the sending.
  double after_signal = 0;
  double ended_after_signal = 0;
};

class Case {
 public:
  Case(const std::string& program, const std::string& folder, const std::string& record_file)
      : record_(record_file), deployment_(program, folder, {}, record_) {}

  int Run() {
    if (!Prepare()) return kCouldNotRun;
    const auto addresses = Resolve();
    const Address entry = deployment_.Callers(0);
    if (addresses.find("\"" + entry.ToString() + "\"") == std::string::npos) return kCouldNotRun;
    SendAllRequests(entry);
    return Judge();
  }

 private:
  bool Prepare() {
    deployment_.Start();
    for (std::size_t i = 0; i < deployment_.controls().size(); ++i) {
      controls_.push_back(deployment_.Control(i));
    }
    const auto config = ConfigText(1, {pay_, photo_});
    if (SendOrder(controls_, "POST", "/-/config/put", config, kStartTimeoutS, record_) != 200) {
      return false;
    }
    for (int i = 0; i < kServers; ++i) {
      Upstream::Options options;
      options.id = "i-" + std::to_string(i);
      options.service = pay_.service;
      options.zone = deployment_.ZoneOfEntry(0);
      options.address = deployment_.Upstream(i);
      options.controls = controls_;
      upstreams_.push_back(std::make_unique<Upstream>(options, record_));
      upstreams_.back()->work = [this](const Message& request) {
        return request.Target().starts_with(pay_.prefix) ? kPayWorkS : kPhotoWorkS;
      };
      if (!upstreams_.back()->Start()) return false;
    }
    for (std::size_t i = 0; i < deployment_.entries().size(); ++i) {
      if (!WaitUntilReady(deployment_.Readiness(i), kStartTimeoutS)) return false;
    }
    Sleep(kCalmS);
    return true;
  }

  /// What the directory tells a client in the zone of the first entry.
  std::string Resolve() {
    const Address directory{deployment_.Control(0).ip, deployment_.ports().directory};
    const auto result =
        Call(directory, "GET", "/-/resolve?name=" + std::string(kHost) + "&region=mvd&zone=mvd-a",
             {{"Host", "directory"}}, "", 1);
    record_.Write("directory: " + result.answer.body);
    return result.answer.body;
  }

  void SendAllRequests(const Address& entry) {
    const double start = record_.Now();
    if (HasTrouble()) deployment_.Signal(deployment_.entries().front(), SIGTERM);
    std::vector<std::thread> clients;
    for (double at = kFirstSentS; at < kSendUntilS; at += kSendEveryS) {
      // Each second time, a payment is sent beside the photo.
      const bool with_payment = clients.size() % 3 == 0;
      clients.emplace_back([=, this] { SendOne(entry, photo_, start, at); });
      if (with_payment) clients.emplace_back([=, this] { SendOne(entry, pay_, start, at); });
    }
    for (auto& client : clients) client.join();
  }

  /// Sends a request at `at` seconds after `start`, on a new connection.
  void SendOne(const Address& entry, const RouteOptions& route, double start, double at) {
    Sleep(start + at - record_.Now());
    auto connection = Connection::Open(entry, 1);
    if (!connection) return;
    Sent sent;
    sent.attempt = SendRequest(*connection, "the stopped entry", route, NewId(), route.timeout_ms,
                               "", record_);
    sent.after_signal = sent.attempt.sent_at - start;
    sent.ended_after_signal = sent.attempt.ended_at - start;
    const std::lock_guard lock(mutex_);
    sent_.push_back(sent);
  }

  int Judge() {
    int lost = 0;
    int excused = 0;
    for (const auto& sent : sent_) {
      const auto& attempt = sent.attempt;
      const bool passed_on = std::any_of(upstreams_.begin(), upstreams_.end(),
                                         [&](const auto& one) { return one->HasRun(attempt.id); });
      const bool unanswered = !(attempt.status != 0 && (attempt.status != 200 || attempt.whole));
      if (!unanswered || !attempt.connection_ended || !passed_on) continue;
      if (sent.ended_after_signal > kGraceS + 1) continue;
      const std::string times = attempt.id + ", sent " + std::to_string(sent.after_signal) +
                                " s after the signal, cut " +
                                std::to_string(sent.ended_after_signal) + " s after it";
      if (sent.after_signal <= kExcusedUntilS) {
        ++excused;
        record_.Write("excused: " + times);
        continue;
      }
      ++lost;
      record_.Write("LOST: passed on to a server and ended without an answer: " + times);
    }
    record_.Write(std::to_string(sent_.size()) + " requests, " + std::to_string(lost) + " lost, " +
                  std::to_string(excused) + " cut but excused");
    record_.Write(lost > 0 ? "RULE BROKEN: LOST" : "the rule held");
    return lost > 0 ? kRuleBroken : 0;
  }

  Record record_;
  Deployment deployment_;
  RouteOptions pay_{"r-reserva", "/reserva/", "unsafe", "reserva-pago", kPayBudgetMs, 600, 2};
  RouteOptions photo_{"r-foto", "/foto/", "safe", "reserva-pago", kPhotoBudgetMs, 1'000, 2};
  std::vector<Address> controls_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::mutex mutex_;
  std::vector<Sent> sent_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: stop_cuts_requests PROGRAM FOLDER RECORD\n";
    return kCouldNotRun;
  }
  return Case(argv[1], argv[2], argv[3]).Run();
}
