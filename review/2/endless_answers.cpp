#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "../standins/callers.h"
#include "../standins/deployment.h"
#include "../standins/kept_traffic.h"
#include "../standins/upstream.h"

// Half of the servers answer one request in twenty with bytes that are no answer and have no end.
// The other servers are sound. No other disruption.

namespace {

using namespace wagtailpick::review;  // NOLINT(google-build-using-namespace)

constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr double kStartTimeoutS = 20;
/// contactMs and a second.
constexpr double kCalmS = 4;
constexpr double kTrafficS = 90;
constexpr int kServers = 16;
constexpr int kSlots = 4;
/// Share of the answers of a faulty server that have no end. Half of the servers are faulty.
constexpr double kFaultyAnswers = 0.05;
/// Bytes a second of one answer without end, and of all of them together. The link of one machine
/// carries 125 MB a second.
constexpr double kBytesPerSecond = 30e6;
constexpr double kAllBytesPerSecond = 120e6;
constexpr std::size_t kPieceBytes = 65'536;
/// Clients of each entry, each with a connection of its own. With the pause and the work, an entry
/// gets about 50 requests a second.
constexpr int kClientsOfEntry = 60;
constexpr double kPauseS = 0.7;
constexpr double kWorkS = 0.4;
/// Requests from kept connections that may be cut without an answer.
constexpr std::size_t kMayBeCut = 3;

/// Grants the bytes that all answers without end may send together.
class Link {
 public:
  /// Returns for how long the sender of a piece has to wait.
  double Take(std::size_t bytes, double now) {
    const std::lock_guard lock(mutex_);
    free_at_ = std::max(free_at_, now) + static_cast<double>(bytes) / kAllBytesPerSecond;
    return free_at_ - now;
  }

 private:
  std::mutex mutex_;
  double free_at_ = 0;
};

class Case {
 public:
  Case(const std::string& program, const std::string& folder, const std::string& record_file)
      : record_(record_file), deployment_(program, folder, {}, record_) {}

  int Run() {
    if (!Prepare()) return kCouldNotRun;
    record_.Write(HasTrouble() ? "answers without end begin" : "all servers are sound");
    faulty_ = HasTrouble();
    traffic_.Start();
    const double end = record_.Now() + kTrafficS;
    while (record_.Now() < end) {
      Sleep(1);
      for (const auto& name : deployment_.entries()) {
        record_.Write("process " + name + " uses " + std::to_string(deployment_.MemoryMb(name)) +
                      " MB");
      }
    }
    traffic_.Stop();
    faulty_ = false;
    return Judge();
  }

 private:
  bool Prepare() {
    deployment_.Start();
    for (std::size_t i = 0; i < deployment_.controls().size(); ++i) {
      controls_.push_back(deployment_.Control(i));
    }
    const auto config = ConfigText(1, {browse_, pay_});
    if (SendOrder(controls_, "POST", "/-/config/put", config, kStartTimeoutS, record_) != 200) {
      return false;
    }
    for (int i = 0; i < kServers; ++i) {
      Upstream::Options options;
      options.id = "i-" + std::to_string(i);
      options.service = browse_.service;
      options.zone = deployment_.ZoneOfEntry(static_cast<std::size_t>(i % 2));
      options.address = deployment_.Upstream(i);
      options.controls = controls_;
      options.slots = kSlots;
      options.work_s = kWorkS;
      upstreams_.push_back(std::make_unique<Upstream>(options, record_));
      // Two servers in turn are faulty, so that both zones have as many.
      if (i % 4 < 2) MakeFaulty(*upstreams_.back());
      if (!upstreams_.back()->Start()) return false;
    }
    for (std::size_t i = 0; i < deployment_.entries().size(); ++i) {
      if (!WaitUntilReady(deployment_.Readiness(i), kStartTimeoutS)) return false;
    }
    Sleep(kCalmS);
    return true;
  }

  void MakeFaulty(Upstream& upstream) {
    faulty_ids_.push_back(upstream.id());
    upstream.choose_fault = [this](const Message& /*request*/) -> Upstream::Fault {
      if (!faulty_ || !IsDrawn()) return nullptr;
      return [this](Connection& connection, const Message& request) {
        return SendWithoutEnd(connection, request);
      };
    };
  }

  bool IsDrawn() {
    const std::lock_guard lock(random_mutex_);
    return std::uniform_real_distribution<>(0, 1)(random_) < kFaultyAnswers;
  }

  /// Sends the head of an answer and a body without end, until the caller closes.
  bool SendWithoutEnd(Connection& connection, const Message& request) {
    const std::string id = request.Header("Request-Id");
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\n";
    const std::string piece(kPieceBytes, 'x');
    const double start = record_.Now();
    double sent = 0;
    bool open = connection.Send(head, 1);
    while (open && faulty_) {
      open = connection.Send(piece, 1);
      sent += static_cast<double>(piece.size());
      const double due = start + sent / kBytesPerSecond - record_.Now();
      Sleep(std::max({due, link_.Take(piece.size(), record_.Now()), 0.0}));
    }
    record_.Write("answer without end to " + id + ": " + std::to_string(sent / 1e6) + " MB in " +
                  std::to_string(record_.Now() - start) + " s");
    return false;
  }

  /// Whether a sound server has begun to run the request.
  bool RanOnSoundServer(const std::string& id) {
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& upstream) {
      const bool faulty =
          std::find(faulty_ids_.begin(), faulty_ids_.end(), upstream->id()) != faulty_ids_.end();
      return !faulty && upstream->HasRun(id);
    });
  }

  int Judge() {
    const auto result =
        traffic_.Judge([this](const std::string& id) { return RanOnSoundServer(id); });
    if (result.served == 0) return kCouldNotRun;
    const bool broken = result.cut > kMayBeCut;
    record_.Write(broken ? "RULE BROKEN: LOST" : "the rule held");
    return broken ? kRuleBroken : 0;
  }

  Record record_;
  Deployment deployment_;
  RouteOptions browse_{"r-browse", "/browse/", "safe", "menu", 3'000, 400, 2};
  RouteOptions pay_{"r-pay", "/pay/", "unsafe", "menu", 4'000, 600, 2};
  std::vector<Address> controls_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::string> faulty_ids_;
  std::atomic<bool> faulty_ = false;
  Link link_;
  std::mutex random_mutex_;
  std::mt19937 random_{std::random_device()()};
  KeptTraffic traffic_{
      {kClientsOfEntry, kPauseS, {pay_, browse_, browse_, browse_}}, deployment_, record_};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: endless_answers PROGRAM FOLDER RECORD\n";
    return kCouldNotRun;
  }
  return Case(argv[1], argv[2], argv[3]).Run();
}
