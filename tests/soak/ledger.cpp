#include "soak/ledger.h"

#include <algorithm>

namespace wagtailpick::soak {
namespace {

constexpr int kOk = 200;
/// The users' bound: upstreams that end under one request until all VMs have to know it, how long
/// that may take, and how many more may end later.
constexpr base::Duration kTimeToPause = std::chrono::milliseconds(500);
constexpr std::size_t kMaxPauseArrivals = 2;
constexpr int kEndsToKnow = 3;
constexpr base::Duration kTimeToKnow = std::chrono::seconds(3);
constexpr int kMaxLateEnds = 3;

/// Statuses that promise that a request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

void Ledger::Break(const std::string& what) { broken_.push_back(what); }

void Ledger::NoteRun(const std::string& request, bool idempotent) {
  const std::lock_guard lock(mutex_);
  const int runs = ++runs_[request];
  if (idempotent) return;
  if (runs > 1) Break("ran twice: " + request);
  if (refused_.contains(request)) Break("ran after it was refused: " + request);
}

void Ledger::NoteAnswer(const std::string& request, bool idempotent, int status, bool own_body) {
  const std::lock_guard lock(mutex_);
  ++statuses_[status];
  if (measuring_) {
    ++measured_;
    measured_served_ += status == kOk ? 1 : 0;
  }
  if (status == kOk && !own_body) Break("another answer: " + request);
  if (idempotent || !PromisesNotRun(status)) return;
  refused_[request] = status;
  if (runs_.contains(request)) Break("refused though it had run: " + request);
}

void Ledger::NoteDrainAcknowledged(const std::string& upstream) {
  const std::lock_guard lock(mutex_);
  drains_.try_emplace(upstream, base::MonotonicNow());
}

void Ledger::NoteArrival(const std::string& upstream, base::Duration bound) {
  const std::lock_guard lock(mutex_);
  const auto drain = drains_.find(upstream);
  if (drain == drains_.end()) return;
  const auto now = base::MonotonicNow();
  // A process that was stopped or restarted meanwhile wasn't in touch.
  if (now - std::max(drain->second, last_fault_) > bound) Break("work after a drain: " + upstream);
}

void Ledger::NotePauseArrival(const std::string& upstream, base::MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  auto& pause = pauses_.try_emplace(upstream, Pause{now, 0}).first->second;
  // A process that was stopped or restarted meanwhile need not know of the pause.
  if (now - std::max(pause.began, last_fault_) <= kTimeToPause) return;
  if (++pause.late_arrivals > kMaxPauseArrivals * entries_) {
    Break("work for an upstream that wants nothing: " + upstream);
  }
}

void Ledger::NoteEnd() {
  const std::lock_guard lock(mutex_);
  const auto now = base::MonotonicNow();
  if (++ends_ == kEndsToKnow) third_end_ = now;
  if (ends_ <= kEndsToKnow || now - third_end_ <= kTimeToKnow) return;
  if (++late_ends_ > kMaxLateEnds) {
    Break("upstream " + std::to_string(ends_) + " ended under one request");
  }
}

void Ledger::NoteFault() {
  const std::lock_guard lock(mutex_);
  last_fault_ = base::MonotonicNow();
}

void Ledger::NoteCatalogAcknowledged(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  acknowledged_catalog_ = std::max(acknowledged_catalog_, version);
}

void Ledger::NoteCatalogRead(std::uint64_t version, std::uint64_t acknowledged) {
  const std::lock_guard lock(mutex_);
  if (version >= acknowledged) return;
  Break("read catalog " + std::to_string(version) + " after " + std::to_string(acknowledged) +
        " was acknowledged");
}

std::uint64_t Ledger::acknowledged_catalog() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_catalog_;
}

void Ledger::BeginMeasuring() {
  const std::lock_guard lock(mutex_);
  measuring_ = true;
}

double Ledger::served_share() const {
  const std::lock_guard lock(mutex_);
  return measured_ == 0 ? 0 : static_cast<double>(measured_served_) / measured_;
}

std::vector<std::string> Ledger::broken() const {
  const std::lock_guard lock(mutex_);
  return broken_;
}

std::string Ledger::Summary() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [status, count] : statuses_) {
    text += std::to_string(status) + ": " + std::to_string(count) + "  ";
  }
  return text + "ends " + std::to_string(ends_) + " (" + std::to_string(late_ends_) +
         " late)  catalog " + std::to_string(acknowledged_catalog_);
}

}  // namespace wagtailpick::soak
