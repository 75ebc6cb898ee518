#include "soak/promise_checker.h"

#include <algorithm>

namespace wagtailpick::soak {
namespace {

constexpr int kOk = 200;
/// The users' limits for back-off: time after its first back-off answer in which an upstream may
/// still receive requests.
constexpr base::Duration kBackOffTimeLimit = std::chrono::milliseconds(500);
/// Requests that each entry may send to the upstream after that time (also a users' limit).
constexpr std::size_t kMaxLateArrivalsPerEntry = 2;
/// The users' limits for a request that crashes upstreams: crashes until all VMs have to block it,
/// how long that may take, and how many more crashes may follow later.
constexpr int kCrashesUntilBlocked = 3;
constexpr base::Duration kBlockTimeLimit = std::chrono::seconds(3);
constexpr int kMaxLateCrashes = 3;

/// The users' rule for an upstream that names a limit: the window, the factor and the slack in
/// which its requests are counted, and the time after which all entries have to keep the limit.
constexpr base::Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr base::Duration kLimitTimeLimit = std::chrono::seconds(3);
/// Part of a limit that entries have to use when callers want more.
constexpr double kMinUsedPartOfLimit = 0.5;

/// Whether `status` guarantees that the request has not run and never will.
bool GuaranteesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

void PromiseChecker::AddViolation(const std::string& what) { violations_.push_back(what); }

void PromiseChecker::RecordRun(const std::string& request, bool idempotent) {
  const std::lock_guard lock(mutex_);
  const int runs = ++runs_[request];
  if (idempotent) return;
  if (runs > 1) AddViolation("ran twice: " + request);
  if (refused_.contains(request)) AddViolation("ran after it was refused: " + request);
}

void PromiseChecker::RecordAnswer(const std::string& request, bool idempotent, int status,
                                  bool own_body) {
  const std::lock_guard lock(mutex_);
  ++statuses_[status];
  if (measuring_) {
    ++measured_;
    measured_served_ += status == kOk ? 1 : 0;
  }
  if (status == kOk && !own_body) AddViolation("answer of another request: " + request);
  if (idempotent || !GuaranteesNotRun(status)) return;
  refused_[request] = status;
  if (runs_.contains(request)) AddViolation("refused though it had run: " + request);
}

void PromiseChecker::RecordDrainAcknowledged(const std::string& upstream) {
  const std::lock_guard lock(mutex_);
  drains_.try_emplace(upstream, base::MonotonicNow());
}

void PromiseChecker::RecordArrival(const std::string& upstream, base::Duration bound) {
  const std::lock_guard lock(mutex_);
  const auto drain = drains_.find(upstream);
  if (drain == drains_.end()) return;
  const auto now = base::MonotonicNow();
  // A process that was paused or restarted in the meantime may have missed the drain.
  if (now - std::max(drain->second, last_fault_) > bound) {
    AddViolation("request after a drain: " + upstream);
  }
}

void PromiseChecker::RecordBackOffArrival(const std::string& upstream, base::MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  auto& back_off = back_offs_.try_emplace(upstream, BackOff{now, 0}).first->second;
  // A process that was paused or restarted in the meantime may have missed the back-off.
  if (now - std::max(back_off.started_at, last_fault_) <= kBackOffTimeLimit) return;
  if (++back_off.late_arrivals > kMaxLateArrivalsPerEntry * entries_) {
    AddViolation("request for an upstream that is backing off: " + upstream);
  }
}

void PromiseChecker::RecordLimit(const std::string& upstream, double requests_per_second) {
  const std::lock_guard lock(mutex_);
  auto& limit = limits_[upstream];
  // Requests that arrived under a higher limit were allowed by it.
  const bool is_lower = requests_per_second < limit.requests_per_second;
  if (limit.requests_per_second == 0 || is_lower) limit.named_at = base::MonotonicNow();
  limit.requests_per_second = requests_per_second;
}

void PromiseChecker::RecordLimitEnded(const std::string& upstream) {
  const std::lock_guard lock(mutex_);
  limits_.erase(upstream);
}

void PromiseChecker::RecordLimitedArrival(const std::string& upstream, base::MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  const auto found = limits_.find(upstream);
  if (found == limits_.end()) return;
  auto& limit = found->second;
  limit.arrivals.push_back(now);
  const auto counted_from = std::max(limit.named_at, last_entry_fault_) + kLimitTimeLimit;
  const auto in_window = static_cast<std::size_t>(
      std::count_if(limit.arrivals.begin(), limit.arrivals.end(),
                    [&](auto at) { return at > now - kLimitWindow && at >= counted_from; }));
  most_limited_arrivals_ = std::max(most_limited_arrivals_, in_window);
  const double allowed =
      kLimitFactor * limit.requests_per_second * base::ToSeconds(kLimitWindow) + kLimitSlack;
  if (static_cast<double>(in_window) <= allowed) return;
  AddViolation(upstream + " limits its requests to " + std::to_string(limit.requests_per_second) +
               " a second and got " + std::to_string(in_window) + " in 4 s");
}

void PromiseChecker::CheckLimitUsed(const std::string& upstream, base::MonotonicTime since) {
  const std::lock_guard lock(mutex_);
  const auto found = limits_.find(upstream);
  if (found == limits_.end()) return AddViolation("no answer named the limit of " + upstream);
  const auto& limit = found->second;
  const auto used = std::count_if(limit.arrivals.begin(), limit.arrivals.end(),
                                  [since](auto at) { return at >= since; });
  const double allowed = limit.requests_per_second * base::ToSeconds(base::MonotonicNow() - since);
  limit_used_ = static_cast<double>(used) / allowed;
  if (limit_used_ < kMinUsedPartOfLimit) {
    AddViolation("only " + std::to_string(limit_used_) + " of a limit was used");
  }
}

void PromiseChecker::RecordEntryFault() {
  const std::lock_guard lock(mutex_);
  last_entry_fault_ = base::MonotonicNow();
}

bool PromiseChecker::CrashesHaveEnded() const {
  const std::lock_guard lock(mutex_);
  return crashes_ >= kCrashesUntilBlocked && base::MonotonicNow() - third_crash_ > kBlockTimeLimit;
}

void PromiseChecker::RecordCrash() {
  const std::lock_guard lock(mutex_);
  const auto now = base::MonotonicNow();
  if (++crashes_ == kCrashesUntilBlocked) third_crash_ = now;
  if (crashes_ <= kCrashesUntilBlocked || now - third_crash_ <= kBlockTimeLimit) return;
  if (++late_crashes_ > kMaxLateCrashes) {
    AddViolation("one request has crashed " + std::to_string(crashes_) + " upstreams");
  }
}

void PromiseChecker::RecordFault() {
  const std::lock_guard lock(mutex_);
  last_fault_ = base::MonotonicNow();
}

void PromiseChecker::RecordCatalogAcknowledged(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  acknowledged_catalog_ = std::max(acknowledged_catalog_, version);
}

void PromiseChecker::RecordCatalogRead(std::uint64_t version, std::uint64_t acknowledged) {
  const std::lock_guard lock(mutex_);
  if (version >= acknowledged) return;
  AddViolation("read catalog " + std::to_string(version) + " after " +
               std::to_string(acknowledged) + " was acknowledged");
}

std::uint64_t PromiseChecker::acknowledged_catalog() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_catalog_;
}

void PromiseChecker::BeginMeasuring() {
  const std::lock_guard lock(mutex_);
  measuring_ = true;
}

void PromiseChecker::EndMeasuring() {
  const std::lock_guard lock(mutex_);
  measuring_ = false;
}

double PromiseChecker::served_share() const {
  const std::lock_guard lock(mutex_);
  return measured_ == 0 ? 0 : static_cast<double>(measured_served_) / measured_;
}

std::vector<std::string> PromiseChecker::violations() const {
  const std::lock_guard lock(mutex_);
  return violations_;
}

std::string PromiseChecker::Summary() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [status, count] : statuses_) {
    text += std::to_string(status) + ": " + std::to_string(count) + "  ";
  }
  return text + "crashes " + std::to_string(crashes_) + " (" + std::to_string(late_crashes_) +
         " late)  limited " + std::to_string(most_limited_arrivals_) + " in 4 s, used " +
         std::to_string(limit_used_) + "  catalog " + std::to_string(acknowledged_catalog_);
}

}  // namespace wagtailpick::soak
