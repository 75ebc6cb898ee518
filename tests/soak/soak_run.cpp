#include "soak/soak_run.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "platform/standin_wire.h"
#include "soak/http_call.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstNetwork = 20;
constexpr int kNetworks = 200;
constexpr base::Duration kCallerTimeout = milliseconds(2'000);
constexpr base::Duration kOrderTimeout = milliseconds(1'000);
constexpr milliseconds kFormation{6'000};
constexpr milliseconds kRecovery{8'000};
constexpr milliseconds kMeasured{3'000};
/// A quarter is the users' bound for the time after a final fault; without faults nearly all
/// requests have to be served.
constexpr double kServedAfterRecovery = 0.9;
constexpr int kMaxRedirects = 2;
constexpr int kDeadlineMs = 1'800;
constexpr int kObjects = 20;
constexpr milliseconds kDeadlyInterval{300};

/// One run's processes, stand-ins and threads.
class Run {
 public:
  explicit Run(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        announcements_random_(options.seed + 2),
        network_(kFirstNetwork + static_cast<int>(options.seed % kNetworks)),
        deployment_(options.program, network_, options.replicas, options.entries) {}

  std::vector<std::string> Execute() {
    ledger_.set_entries(options_.entries);
    deployment_.StartAll();
    std::vector<std::string> replicas;
    for (std::size_t i = 0; i < options_.replicas; ++i) {
      replicas.push_back(deployment_.OrdersAddress(i));
    }
    StandinService service(network_, options_.upstreams, replicas, ledger_, options_.seed);
    std::thread operating([this] { Operate(); });
    std::this_thread::sleep_for(kFormation);
    std::vector<std::thread> calling;
    for (std::size_t i = 0; i < options_.callers; ++i) {
      calling.emplace_back([this, i] { CallLoop(i); });
    }
    calling.emplace_back([this] { DeadlyLoop(); });
    StrikeUntil(base::MonotonicNow() + options_.length, service);
    Recover(service);
    stopping_ = true;
    for (auto& thread : calling) thread.join();
    operating.join();
    return Finish();
  }

 private:
  /// Sends an order to any replica and follows redirects; the last answer, if there was one.
  std::optional<http::Response> Order(const http::Request& request, std::size_t first) {
    std::string address = deployment_.OrdersAddress(first % options_.replicas);
    for (int i = 0; i <= kMaxRedirects; ++i) {
      auto answer = Call(address, request, kOrderTimeout);
      if (!answer || answer->status != 307) return answer;
      const auto* location = http::FindHeader(answer->headers, "Location");
      if (location == nullptr) return std::nullopt;
      const auto begin = location->find("//") + 2;
      address = location->substr(begin, location->find('/', begin) - begin);
    }
    return std::nullopt;
  }

  void Operate() {
    std::mt19937_64 random(options_.seed + 1);
    std::uint64_t version = 1;
    while (!stopping_) {
      const auto put = platform::PutConfig(platform::TwoRouteConfig(version, "s"));
      const auto answer = Order(put, random());
      if (answer && answer->status == 200) ledger_.NoteCatalogAcknowledged(version++);
      if (answer && answer->status >= 400 && answer->status < 500) {
        std::cout << "a valid catalog was refused with " << answer->status << "\n";
        refused_valid_ = true;
      }
      ReadCatalog(random());
      std::this_thread::sleep_for(milliseconds(100 + random() % 200));
    }
  }

  std::optional<std::uint64_t> ReadCatalog(std::size_t first) {
    const auto acknowledged = ledger_.acknowledged_catalog();
    const auto answer = Order(platform::GetConfig(), first);
    if (!answer || answer->status != 200) {
      last_read_ = answer ? std::to_string(answer->status) + " " + answer->body : "no answer";
      return std::nullopt;
    }
    const auto version = nlohmann::json::parse(answer->body).at("version").get<std::uint64_t>();
    ledger_.NoteCatalogRead(version, acknowledged);
    return version;
  }

  void CallLoop(std::size_t caller) {
    std::mt19937_64 random(options_.seed * 100 + caller);
    for (int i = 0; !stopping_; ++i) {
      const bool idempotent = random() % 2 == 0;
      const std::string id = std::to_string(caller) + "-" + std::to_string(i);
      auto request =
          platform::ClientRequest(idempotent ? "GET" : "POST", idempotent ? "/read/x" : "/charge/x",
                                  id, kDeadlineMs, std::to_string(random() % kObjects));
      if (!idempotent) request.body = "charge";
      const auto entry = random() % options_.entries;
      const auto answer = Call(deployment_.CallersAddress(entry), request, kCallerTimeout);
      ledger_.NoteAnswer(id, idempotent, answer ? answer->status : 0,
                         answer && answer->body == "answer to " + id);
      std::this_thread::sleep_for(milliseconds(10 + random() % 20));
    }
  }

  /// One request that ends each upstream that runs it, sent again and again to any entry.
  void DeadlyLoop() {
    std::mt19937_64 random(options_.seed * 100 + options_.callers);
    for (int i = 0; !stopping_; ++i) {
      const auto request = platform::ClientRequest(
          "GET", kDeadlyTarget, "deadly-" + std::to_string(i), kDeadlineMs, "deadly");
      Call(deployment_.CallersAddress(random() % options_.entries), request, kCallerTimeout);
      std::this_thread::sleep_for(kDeadlyInterval);
    }
  }

  void StrikeUntil(base::MonotonicTime end, StandinService& service) {
    while (base::MonotonicNow() < end) {
      ledger_.NoteFault();
      Strike(service);
      Announce(service);
      ledger_.NoteFault();
      std::this_thread::sleep_for(milliseconds(200 + random_() % 1'500));
    }
  }

  /// An upstream says in its answers that it leaves, or that it wants nothing. Drawn apart, so that
  /// a seed keeps its faults.
  void Announce(StandinService& service) {
    const std::size_t upstream = announcements_random_() % service.size();
    switch (announcements_random_() % 4) {
      case 0:
        return service.LeaveQuietly(upstream);
      case 1:
        return service.Pause(upstream);
      default:
        return;
    }
  }

  void Strike(StandinService& service) {
    const std::size_t node = random_() % deployment_.size();
    const auto kind = random_() % 8;
    history_.push_back(std::to_string(base::WallNowMillis()) + " fault " + std::to_string(kind) +
                       " at process " + std::to_string(node));
    switch (kind) {
      case 0:
        deployment_.Kill(node);
        std::this_thread::sleep_for(milliseconds(random_() % 1'500));
        return deployment_.Start(node);
      case 1:
        deployment_.Signal(node, SIGSTOP);
        std::this_thread::sleep_for(milliseconds(300 + random_() % 3'000));
        return deployment_.Signal(node, SIGCONT);
      case 2:
        return Restart(node);
      case 3:
        return LoseDisk();
      case 4:
        for (std::size_t i = 0; i < deployment_.replica_count(); ++i) deployment_.Kill(i);
        for (std::size_t i = 0; i < deployment_.replica_count(); ++i) deployment_.Start(i);
        return;
      case 5:
        service.set_lost_share(0.05 * static_cast<double>(random_() % 4));
        return;
      case 6:
        return deployment_.Signal(node, SIGHUP);
      default:
        return service.Replace(random_() % service.size());
    }
  }

  void Restart(std::size_t node) {
    deployment_.Signal(node, SIGTERM);
    const auto end = base::MonotonicNow() + std::chrono::seconds(5);
    while (!deployment_.HasEnded(node) && base::MonotonicNow() < end) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    if (!deployment_.HasEnded(node)) {
      overdue_stop_ = true;
      deployment_.Kill(node);
    }
    deployment_.Start(node);
  }

  /// One disk at a time: the next one may go only after this one has caught up.
  void LoseDisk() {
    if (base::MonotonicNow() < disk_loss_due_) return;
    disk_loss_due_ = base::MonotonicNow() + std::chrono::seconds(10);
    const std::size_t node = random_() % deployment_.replica_count();
    history_.push_back("the disk of process " + std::to_string(node) + " is lost");
    deployment_.Kill(node);
    deployment_.WipeDisk(node);
    deployment_.Start(node);
    // Until the replica has caught up, no other replica may be lost.
    std::this_thread::sleep_for(std::chrono::seconds(4));
  }

  void Recover(StandinService& service) {
    service.set_lost_share(0);
    service.LeaveQuietly(0);
    service.Pause(1);
    std::this_thread::sleep_for(kRecovery);
    ledger_.BeginMeasuring();
    std::this_thread::sleep_for(kMeasured);
  }

  std::vector<std::string> Finish() {
    auto broken = ledger_.broken();
    if (refused_valid_) broken.emplace_back("a valid catalog was refused");
    if (overdue_stop_) broken.emplace_back("a process didn't stop within its grace time");
    if (ledger_.served_share() < kServedAfterRecovery) {
      broken.emplace_back("only " + std::to_string(ledger_.served_share()) +
                          " served after the recovery");
    }
    for (std::size_t i = 0; i < options_.replicas; ++i) {
      if (ReadCatalog(i)) continue;
      broken.emplace_back("no catalog can be read at replica " + std::to_string(i) + ": " +
                          last_read_);
    }
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      if (deployment_.HasEnded(i)) broken.emplace_back("process " + std::to_string(i) + " ended");
    }
    if (!broken.empty()) {
      deployment_.KeepFolder();
      for (const auto& fault : history_) std::cout << fault << "\n";
    }
    std::cout << "seed " << options_.seed << ": " << ledger_.Summary() << ", served "
              << ledger_.served_share() << ", broken " << broken.size() << std::endl;
    return broken;
  }

  SoakOptions options_;
  std::mt19937_64 random_;
  std::mt19937_64 announcements_random_;
  int network_;
  Ledger ledger_;
  Deployment deployment_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> refused_valid_ = false;
  bool overdue_stop_ = false;
  /// How the last read without a catalog ended.
  std::string last_read_;
  base::MonotonicTime disk_loss_due_;
  /// Each fault with its Unix time in milliseconds, printed when a promise was broken.
  std::vector<std::string> history_;
};

}  // namespace

std::vector<std::string> RunSoak(const SoakOptions& options) { return Run(options).Execute(); }

}  // namespace wagtailpick::soak
