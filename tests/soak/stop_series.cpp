#include "soak/stop_series.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
/// A process that gets a signal within this time of its start may not have its handlers yet.
constexpr base::Duration kMaxStartTime = milliseconds(300);
/// How long the processes have to be up again after the last stop.
constexpr base::Duration kSettleTime = std::chrono::seconds(1);
/// A process that ends again and again must not keep the series from ending.
constexpr base::Duration kMaxEndTime = std::chrono::seconds(20);

}  // namespace

StopSeries::StopSeries(Deployment& deployment, StandinService& service, PromiseChecker& promises,
                       StopChecker& stops, base::Duration grace, std::uint64_t seed)
    : deployment_(deployment),
      service_(service),
      promises_(promises),
      stops_(stops),
      grace_(grace),
      random_(seed),
      processes_(deployment.size()),
      next_entry_(deployment.replica_count()) {}

void StopSeries::Run(base::Duration length) {
  const auto end = base::MonotonicNow() + length;
  auto next_act = base::MonotonicNow();
  auto last_unsettled = next_act;
  while (base::MonotonicNow() < std::min(last_unsettled + kSettleTime, end + kMaxEndTime)) {
    const auto now = base::MonotonicNow();
    ending_ = now >= end;
    if (now >= next_act && !ending_) {
      Act();
      next_act = now + milliseconds(150 + random_() % 900);
    }
    for (std::size_t i = 0; i < processes_.size(); ++i) Attend(i);
    const bool all_run = CountInState(State::kRunning, 0, processes_.size()) == processes_.size();
    if (!ending_ || !all_run) last_unsettled = base::MonotonicNow();
    std::this_thread::sleep_for(kTick);
  }
}

void StopSeries::Act() {
  switch (random_() % 10) {
    case 0:
      return SignalStopping(SIGTERM);
    case 1:
    case 2:
      return SignalStopping(SIGHUP);
    case 3:
      return StopReplica();
    case 4: {
      const std::size_t upstream = random_() % service_.size();
      Log("drain of upstream", upstream);
      return service_.Replace(upstream);
    }
    case 5: {
      const std::size_t upstream = random_() % service_.size();
      Log("unannounced leave of upstream", upstream);
      return service_.LeaveWithoutAnnouncement(upstream);
    }
    default:
      return StopNextEntry();
  }
}

void StopSeries::Attend(std::size_t node) {
  auto& process = processes_[node];
  const auto now = base::MonotonicNow();
  if (process.state == State::kDown) {
    if (now >= process.start_due) Start(node);
    return;
  }
  if (const auto exit_code = deployment_.ExitCode(node)) return HandleEnd(node, *exit_code);
  if (process.state == State::kStopping && now >= process.stopped_at + grace_) {
    Log("SIGKILL after the grace time", node);
    stops_.RecordLateStop(node);
    deployment_.Kill(node);
    return HandleEnd(node, -SIGKILL);
  }
  const bool early_stop =
      process.early_stop_due != base::MonotonicTime() && now >= process.early_stop_due;
  if (process.state == State::kRunning && early_stop) Stop(node);
}

void StopSeries::HandleEnd(std::size_t node, int exit_code) {
  auto& process = processes_[node];
  const bool was_stopping = process.state == State::kStopping;
  const bool had_no_handlers =
      exit_code == -SIGTERM && process.stopped_at < process.started_at + kMaxStartTime;
  const bool was_killed = was_stopping && exit_code == -SIGKILL;
  Log("end with exit code " + std::to_string(exit_code) + " of process", node);
  if (!was_stopping) {
    stops_.RecordWrongEnd("ended by itself", node, exit_code);
  } else if (exit_code != 0 && !had_no_handlers && !was_killed) {
    stops_.RecordWrongEnd("stopped in a wrong way", node, exit_code);
  }
  process.state = State::kDown;
  process.start_due = base::MonotonicNow() + milliseconds(100 + random_() % 600);
}

void StopSeries::Start(std::size_t node) {
  auto& process = processes_[node];
  Log("start of process", node);
  deployment_.Start(node);
  // The process has forgotten what upstreams announced in their answers to it.
  promises_.RecordFault();
  process.state = State::kRunning;
  process.started_at = base::MonotonicNow();
  const bool stops_early = !ending_ && random_() % 5 == 0;
  process.early_stop_due =
      stops_early ? process.started_at + milliseconds(random_() % 1'200) : base::MonotonicTime();
}

void StopSeries::Stop(std::size_t node) {
  Log("SIGTERM to process", node);
  auto& process = processes_[node];
  process.state = State::kStopping;
  process.early_stop_due = base::MonotonicTime();
  process.stopped_at = base::MonotonicNow();
  stops_.RecordStop(node);
  deployment_.Signal(node, SIGTERM);
}

// Entries stop in turn, the next one often before the former has ended. The last one that runs is
// left alone.
void StopSeries::StopNextEntry() {
  const auto first = deployment_.replica_count();
  if (CountInState(State::kRunning, first, processes_.size()) < 2) return;
  do {
    next_entry_ = next_entry_ + 1 < processes_.size() ? next_entry_ + 1 : first;
  } while (processes_[next_entry_].state != State::kRunning);
  Stop(next_entry_);
}

void StopSeries::StopReplica() {
  const auto replicas = deployment_.replica_count();
  if (CountInState(State::kRunning, 0, replicas) == replicas) Stop(random_() % replicas);
}

void StopSeries::SignalStopping(int signal) {
  auto node = random_() % processes_.size();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i].state == State::kStopping) node = i;
  }
  const auto& process = processes_[node];
  if (process.state == State::kDown) return;
  if (process.state == State::kRunning && signal == SIGTERM) return;
  if (base::MonotonicNow() < process.started_at + kMaxStartTime) return;
  Log("signal " + std::to_string(signal) + " to process", node);
  deployment_.Signal(node, signal);
}

std::size_t StopSeries::CountInState(State state, std::size_t begin, std::size_t end) const {
  std::size_t count = 0;
  for (std::size_t i = begin; i < end; ++i) count += processes_[i].state == state ? 1 : 0;
  return count;
}

void StopSeries::Log(const std::string& event, std::size_t subject) {
  log_.push_back(std::to_string(base::WallNowMillis()) + " " + event + " " +
                 std::to_string(subject));
}

}  // namespace wagtailpick::soak
