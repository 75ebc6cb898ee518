#include "soak/soak_run.h"

#include <array>
#include <csignal>
#include <iostream>

#include "platform/standin_wire.h"
#include "soak/config_operator.h"
#include "soak/http_call.h"
#include "soak/mixed_caller.h"
#include "soak/stop_series.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstNetwork = 20;
constexpr int kNetworks = 200;
constexpr base::Duration kCallerTimeout = milliseconds(2'000);
constexpr milliseconds kFormationTime{6'000};
constexpr milliseconds kRecoveryTime{8'000};
constexpr milliseconds kMeasuringTime{3'000};
/// Time from the acknowledgement of a config until it is in force everywhere, and the longest wait
/// for the acknowledgement.
constexpr milliseconds kApplyTime{2'500};
constexpr base::Duration kMaxConfigWait = std::chrono::seconds(20);
/// Fraction of requests that must be served after the recovery. The users' limit after a final
/// fault is a quarter; without faults nearly all requests have to be served.
constexpr double kMinServedAfterRecovery = 0.9;
/// The time between SIGTERM and SIGKILL beside the time of the long requests: that of the
/// deployments, and for one seed in `kShortTimesOneIn` a shorter one.
constexpr std::chrono::seconds kGrace{6};
constexpr milliseconds kLongDeadline{4'000};
constexpr std::chrono::seconds kShortGrace{4};
constexpr milliseconds kShortLongDeadline{1'800};
constexpr std::uint64_t kShortTimesOneIn = 4;
/// How much longer than its grace time a process may take to end while other faults are injected.
constexpr base::Duration kExtraStopTime = std::chrono::seconds(1);
constexpr int kDeadlineMs = 1'800;
constexpr int kObjects = 20;
constexpr milliseconds kCrashRequestInterval{300};
/// If the first catalog comes only after the faults, the request starts to crash upstreams then.
constexpr base::Duration kMaxCrashWait = std::chrono::seconds(10);
/// Requests per second that upstreams name as their limits.
constexpr std::array kLimits{0.5, 2.0, 5.0};
/// The first upstream that may be limited after the faults, and its limit. The ones before it leave
/// and back off.
constexpr std::size_t kFirstLimited = 2;
constexpr double kLimitAfterFaults = 2.5;

/// The processes, stand-ins and threads of one seed.
class Run {
 public:
  explicit Run(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        announcements_random_(options.seed + 2),
        network_(kFirstNetwork + static_cast<int>(options.seed % kNetworks)),
        has_short_times_(options.seed % kShortTimesOneIn == 0),
        grace_(has_short_times_ ? kShortGrace : kGrace),
        long_deadline_(has_short_times_ ? kShortLongDeadline : kLongDeadline),
        stops_(grace_),
        deployment_(options.program, network_, options.replicas, options.entries, grace_),
        operator_({options.seed, options.replicas, long_deadline_}, deployment_, checker_) {}

  std::vector<std::string> Execute() {
    checker_.set_entries(options_.entries);
    deployment_.StartAll();
    std::vector<std::string> replicas;
    for (std::size_t i = 0; i < options_.replicas; ++i) {
      replicas.push_back(deployment_.OrdersAddress(i));
    }
    StandinService service(network_, options_.upstreams, replicas, checker_, stops_, options_.seed);
    std::thread operator_thread([this] { operator_.RunUntil(stopping_, faults_are_over_); });
    std::this_thread::sleep_for(kFormationTime);
    std::vector<std::thread> caller_threads;
    for (std::size_t i = 0; i < options_.callers; ++i) {
      caller_threads.emplace_back([this, i] { CallLoop(i); });
    }
    caller_threads.emplace_back([this] { CrashRequestLoop(); });
    InjectFaultsUntil(base::MonotonicNow() + options_.length, service);
    Recover(service);
    faults_are_over_ = true;
    for (auto& thread : caller_threads) thread.join();
    StopInSeries(service);
    stopping_ = true;
    operator_thread.join();
    return Finish();
  }

 private:
  void CallLoop(std::size_t caller) {
    std::mt19937_64 random(options_.seed * 100 + caller);
    for (int i = 0; !faults_are_over_; ++i) {
      const bool idempotent = random() % 2 == 0;
      const std::string id = std::to_string(caller) + "-" + std::to_string(i);
      auto request =
          platform::ClientRequest(idempotent ? "GET" : "POST", idempotent ? "/read/x" : "/charge/x",
                                  id, kDeadlineMs, std::to_string(random() % kObjects));
      if (!idempotent) request.body = "charge";
      const auto entry = random() % options_.entries;
      const auto answer = Call(deployment_.CallersAddress(entry), request, kCallerTimeout);
      checker_.RecordAnswer(id, idempotent, answer ? answer->status : 0,
                            answer && answer->body == "answer to " + id);
      std::this_thread::sleep_for(milliseconds(10 + random() % 20));
    }
  }

  /// Repeatedly sends a request that crashes each upstream that runs it, to random entries.
  void CrashRequestLoop() {
    std::mt19937_64 random(options_.seed * 100 + options_.callers);
    for (int i = 0; !faults_are_over_; ++i) {
      const auto request = platform::ClientRequest(
          "GET", kCrashTarget, "deadly-" + std::to_string(i), kDeadlineMs, "deadly");
      Call(deployment_.CallersAddress(random() % options_.entries), request, kCallerTimeout);
      std::this_thread::sleep_for(kCrashRequestInterval);
    }
  }

  void InjectFaultsUntil(base::MonotonicTime end, StandinService& service) {
    while (base::MonotonicNow() < end) {
      RestartEnded();
      checker_.RecordFault();
      InjectFault(service);
      if (fault_hits_entry_) checker_.RecordEntryFault();
      InjectAnnouncement(service);
      checker_.RecordFault();
      std::this_thread::sleep_for(milliseconds(200 + random_() % 1'500));
    }
  }

  /// Starts processes again that have ended by themselves. All run here, as each restart is
  /// awaited.
  void RestartEnded() {
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      const auto exit_code = deployment_.ExitCode(i);
      if (!exit_code) continue;
      stops_.RecordWrongEnd("ended by itself", i, *exit_code);
      deployment_.Start(i);
    }
  }

  /// Makes an upstream announce in its answers that it leaves, is backing off or limits its
  /// requests, or that its limit has ended. Uses a separate
  /// random generator, so that a seed keeps its sequence of faults.
  void InjectAnnouncement(StandinService& service) {
    const std::size_t upstream = announcements_random_() % service.size();
    switch (announcements_random_() % 4) {
      case 0:
        return service.LeaveWithoutAnnouncement(upstream);
      case 1:
        return service.StartBackOff(upstream);
      case 2:
        return service.StartLimit(upstream, kLimits.at(upstream % kLimits.size()));
      default:
        return service.EndLimit(upstream);
    }
  }

  void InjectFault(StandinService& service) {
    const std::size_t node = random_() % deployment_.size();
    const auto kind = random_() % 8;
    fault_hits_entry_ = kind <= 2 && node >= deployment_.replica_count();
    if (fault_hits_entry_) checker_.RecordEntryFault();
    fault_log_.push_back(std::to_string(base::WallNowMillis()) + " fault " + std::to_string(kind) +
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
    const auto end = base::MonotonicNow() + grace_ + kExtraStopTime;
    while (!deployment_.ExitCode(node) && base::MonotonicNow() < end) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    if (!deployment_.ExitCode(node)) {
      stop_timed_out_ = true;
      deployment_.Kill(node);
    }
    deployment_.Start(node);
  }

  /// Wipes the disk of a replica. At most one disk is lost at a time: the next one may be lost only
  /// after this replica has caught up.
  void LoseDisk() {
    if (base::MonotonicNow() < disk_loss_due_) return;
    disk_loss_due_ = base::MonotonicNow() + std::chrono::seconds(10);
    const std::size_t node = random_() % deployment_.replica_count();
    fault_log_.push_back("the disk of process " + std::to_string(node) + " is lost");
    deployment_.Kill(node);
    deployment_.WipeDisk(node);
    deployment_.Start(node);
    // Until the replica has caught up, no other replica may be lost.
    std::this_thread::sleep_for(std::chrono::seconds(4));
  }

  void Recover(StandinService& service) {
    service.set_lost_share(0);
    service.LeaveWithoutAnnouncement(0);
    service.StartBackOff(1);
    WaitForLastCrash();
    const auto limited = service.StartLimitOfLasting(kFirstLimited, kLimitAfterFaults);
    std::this_thread::sleep_for(kRecoveryTime);
    checker_.BeginMeasuring();
    const auto since = base::MonotonicNow() - kMeasuringTime;
    std::this_thread::sleep_for(kMeasuringTime);
    checker_.CheckLimitUsed(limited, since);
    checker_.EndMeasuring();
    for (std::size_t i = 0; i < service.size(); ++i) service.EndLimit(i);
  }

  /// An upstream that crashes after it was chosen for the limit would leave the limit unused.
  void WaitForLastCrash() const {
    const auto end = base::MonotonicNow() + kMaxCrashWait;
    while (!checker_.CrashesHaveEnded() && base::MonotonicNow() < end) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  /// Waits until a config with timeouts for long requests is in force. Returns false if none is
  /// accepted for long.
  bool WaitForLongTimeouts() const {
    // The next version may have been drawn before.
    const auto wanted = checker_.acknowledged_catalog() + 2;
    const auto end = base::MonotonicNow() + kMaxConfigWait;
    while (checker_.acknowledged_catalog() < wanted && base::MonotonicNow() < end) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    if (checker_.acknowledged_catalog() < wanted) return false;
    std::this_thread::sleep_for(kApplyTime);
    return true;
  }

  /// Stops processes in series under long requests. No other faults are injected meanwhile.
  void StopInSeries(StandinService& service) {
    RestartEnded();
    // The old timeouts would end long requests, which would count as lost.
    has_long_timeouts_ = WaitForLongTimeouts();
    if (!has_long_timeouts_) return;
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < options_.entries; ++i) {
      entries.push_back(deployment_.CallersAddress(i));
    }
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < options_.mixed_callers; ++i) {
      callers.emplace_back([this, entries, i] {
        MixedCaller({i, options_.seed, entries, options_.replicas, long_deadline_}, checker_,
                    stops_)
            .RunUntil(stops_are_over_);
      });
    }
    StopSeries series(deployment_, service, checker_, stops_, grace_, options_.seed + 3);
    series.Run(options_.stops_length);
    stops_are_over_ = true;
    for (auto& caller : callers) caller.join();
    fault_log_.insert(fault_log_.end(), series.log().begin(), series.log().end());
  }

  std::vector<std::string> Finish() {
    auto broken = checker_.violations();
    const auto stop_violations = stops_.Violations();
    broken.insert(broken.end(), stop_violations.begin(), stop_violations.end());
    if (!has_long_timeouts_) {
      broken.emplace_back(
          "no config was accepted for 20 s without faults; the stops were not played");
    }
    if (operator_.valid_config_refused()) broken.emplace_back("a valid catalog was refused");
    if (stop_timed_out_) broken.emplace_back("a process did not stop 1 s after its grace time");
    if (checker_.served_share() < kMinServedAfterRecovery) {
      broken.emplace_back("only " + std::to_string(checker_.served_share()) +
                          " served after the recovery");
    }
    const auto recovered_by = base::MonotonicNow() + kRecoveryTime;
    for (std::size_t i = 0; i < options_.replicas; ++i) {
      if (operator_.ReadUntil(i, recovered_by)) continue;
      broken.emplace_back("no catalog can be read at replica " + std::to_string(i) + ": " +
                          operator_.last_failed_read());
    }
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      if (deployment_.ExitCode(i)) broken.emplace_back("process " + std::to_string(i) + " ended");
    }
    if (!broken.empty()) {
      deployment_.KeepFolder();
      for (const auto& fault : fault_log_) std::cout << fault << "\n";
    }
    std::cout << "seed " << options_.seed << ": " << checker_.Summary() << ", served "
              << checker_.served_share() << ", broken " << broken.size() << "\n  "
              << stops_.Summary() << std::endl;
    return broken;
  }

  SoakOptions options_;
  std::mt19937_64 random_;
  std::mt19937_64 announcements_random_;
  int network_;
  bool has_short_times_;
  std::chrono::seconds grace_;
  milliseconds long_deadline_;
  PromiseChecker checker_;
  StopChecker stops_;
  Deployment deployment_;
  ConfigOperator operator_;
  std::atomic<bool> faults_are_over_ = false;
  std::atomic<bool> stops_are_over_ = false;
  std::atomic<bool> stopping_ = false;
  bool stop_timed_out_ = false;
  bool has_long_timeouts_ = false;
  /// Whether the latest fault killed, paused or restarted an entry.
  bool fault_hits_entry_ = false;
  base::MonotonicTime disk_loss_due_;
  /// Each injected fault, most with their Unix time in milliseconds; printed if a promise was
  /// broken.
  std::vector<std::string> fault_log_;
};

}  // namespace

std::vector<std::string> RunSoak(const SoakOptions& options) { return Run(options).Execute(); }

}  // namespace wagtailpick::soak
