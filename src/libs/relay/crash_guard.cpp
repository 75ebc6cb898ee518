#include "relay/crash_guard.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/endpoint.h"

namespace wagtailpick::relay {
namespace {

using logging::Level;

/// Bound set by the users. A request that ran on a crashing upstream twice by coincidence still
/// runs.
constexpr std::size_t kCrashesToBlock = 3;
/// Enough for the requests that were running on all upstreams of a data centre when it was lost.
constexpr std::size_t kMaxSuspects = 2'000;
/// A block lasts 600 s from its last renewal, and each renewal is broadcast to all processes.
constexpr safety::WallMillis kRenewalStepMs = 30'000;
/// A crashed upstream announces its restart within a few seconds.
constexpr base::Duration kMaxUnresolvedAge = std::chrono::seconds(30);
/// The suspects hold no more requests. At the cap, the oldest loss is dropped and does not count.
constexpr std::size_t kMaxUnresolvedLosses = kMaxSuspects;
/// Enough for all crashes that the suspects can count before they are blocked.
constexpr std::size_t kMaxCrashedRuns = kMaxSuspects * kCrashesToBlock;
/// A block lasts as long as callers renew it, so the answer that withdraws it may come late.
constexpr base::Duration kCrashedRunLifetime = std::chrono::hours(24);
/// Enough to distinguish requests in logs.
constexpr std::size_t kLoggedFingerprintDigits = 16;

std::string Shortened(const safety::Fingerprint& fingerprint) {
  return safety::ToHex(fingerprint).substr(0, kLoggedFingerprintDigits);
}

}  // namespace

std::size_t CrashGuard::RunHash::operator()(const safety::UpstreamRun& run) const {
  return std::hash<std::string>()(run.address) ^ std::hash<std::uint64_t>()(run.incarnation);
}

safety::SuspectLimits CrashLimits() {
  safety::SuspectLimits limits;
  limits.max_fingerprints = kMaxSuspects;
  limits.max_recent_successes = 0;
  limits.strikes_to_block = kCrashesToBlock;
  limits.renewal_step_ms = kRenewalStepMs;
  return limits;
}

CrashGuard::CrashGuard(asio::io_context& loop, DecisionLog& log, metrics::Registry& registry)
    : probe_(loop),
      log_(log),
      metrics_(registry),
      table_(CrashLimits()),
      crashed_runs_(kMaxCrashedRuns, kCrashedRunLifetime) {}

bool CrashGuard::IsBlocked(const safety::Fingerprint& fingerprint) {
  return table_.Check(fingerprint, base::WallNowMillis()).action == safety::Action::kBlocked;
}

bool CrashGuard::IsSuspect(const safety::Fingerprint& fingerprint) {
  return table_.LostUpstreamCount(fingerprint, base::WallNowMillis()) > 0;
}

bool CrashGuard::IsOneCrashFromBlock(const safety::Fingerprint& fingerprint) {
  return table_.LostUpstreamCount(fingerprint, base::WallNowMillis()) + 1 >= kCrashesToBlock;
}

void CrashGuard::ExamineLoss(const LostExchange& lost, std::function<void()> done) {
  const auto endpoint = base::ParseEndpoint(lost.run.address);
  if (!endpoint) return done();
  probe_.Start(endpoint.value(), [this, lost, done = std::move(done)](net::ProbeVerdict verdict) {
    HandleProbeVerdict(lost, verdict);
    done();
  });
}

void CrashGuard::HandleProbeVerdict(const LostExchange& lost, net::ProbeVerdict verdict) {
  const std::string name(net::ToString(verdict));
  metrics_.CounterAt("wagtailpick_lost_exchanges_total", "upstream=\"" + name + "\"").Add();
  if (verdict == net::ProbeVerdict::kEnded) AddStrike(lost);
  if (verdict == net::ProbeVerdict::kUnknown) {
    unresolved_losses_.push_back({lost, base::MonotonicNow()});
    if (unresolved_losses_.size() > kMaxUnresolvedLosses) unresolved_losses_.pop_front();
  }
  const auto crashes = table_.LostUpstreamCount(lost.fingerprint, base::WallNowMillis());
  log_.Write(Level::kInfo, "loss_examined", "probed the upstream of a lost exchange: " + name,
             {{"request_id", lost.request_id},
              {"fingerprint", Shortened(lost.fingerprint)},
              {"upstream", lost.upstream},
              {"address", lost.run.address},
              {"incarnation", std::to_string(lost.run.incarnation)},
              {"verdict", name},
              {"ends", std::to_string(crashes)}},
             base::MonotonicNow());
}

void CrashGuard::AddStrike(const LostExchange& lost) {
  const auto now = base::WallNowMillis();
  // Strikes that several entries add for the same crash have different ids but name the same
  // upstream run, so they count once.
  const std::string id = lost.run.address + "/" + std::to_string(lost.run.incarnation) + "/" +
                         lost.request_id + "/" + std::to_string(now);
  table_.AddStrike(lost.fingerprint, {id, lost.run, 0, {}}, now);
  const auto seen_at = base::MonotonicNow();
  crashed_runs_.Set(lost.run, seen_at, seen_at);
}

// A refused connection does not always mean a crash: an upstream also refuses connections beyond
// its limit.
void CrashGuard::HandleAnswer(const safety::UpstreamRun& run, base::MonotonicTime sent_at) {
  if (crashed_runs_.empty()) return;
  const auto* seen_at = crashed_runs_.Find(run, base::MonotonicNow());
  if (seen_at == nullptr || sent_at <= *seen_at) return;
  crashed_runs_.Erase(run);
  const auto withdrawn =
      table_.WithdrawStrikes(run, std::numeric_limits<std::uint64_t>::max(), base::WallNowMillis());
  log_.Write(Level::kInfo, "upstream_had_not_ended", run.address,
             {{"incarnation", std::to_string(run.incarnation)},
              {"withdrawn", std::to_string(withdrawn.size())}},
             base::MonotonicNow());
}

void CrashGuard::AddSuccess(const safety::Fingerprint& fingerprint, const std::string& address) {
  table_.AddSuccess(fingerprint, address, base::WallNowMillis());
}

void CrashGuard::HandleRunStart(const std::string& address, std::int64_t started_unix_ms) {
  const auto now = base::MonotonicNow();
  while (!unresolved_losses_.empty() && now - unresolved_losses_.front().at > kMaxUnresolvedAge) {
    unresolved_losses_.pop_front();
  }
  std::erase_if(unresolved_losses_, [&](const UnresolvedLoss& loss) {
    const auto& run = loss.lost.run;
    const bool crashed =
        run.address == address && run.incarnation < static_cast<std::uint64_t>(started_unix_ms);
    if (crashed) AddStrike(loss.lost);
    return crashed;
  });
}

void CrashGuard::RemoveRunningSuspect(const std::string& upstream) {
  const auto found = upstreams_running_suspects_.find(upstream);
  if (found != upstreams_running_suspects_.end()) upstreams_running_suspects_.erase(found);
}

void CrashGuard::Merge(const std::vector<safety::SuspectReport>& reports) {
  const auto now = base::WallNowMillis();
  for (const auto& report : reports) {
    const auto before = table_.LostUpstreamCount(report.fingerprint, now);
    table_.MergeWithoutForwarding(report, now);
    const auto crashes = table_.LostUpstreamCount(report.fingerprint, now);
    if (before == crashes) continue;
    log_.Write(Level::kInfo, "suspect_told",
               "the number of upstreams that crashed during a request has changed",
               {{"fingerprint", Shortened(report.fingerprint)},
                {"ends_before", std::to_string(before)},
                {"ends", std::to_string(crashes)}},
               base::MonotonicNow());
  }
}

std::vector<safety::SuspectReport> CrashGuard::ConsumeChanges() {
  return table_.ConsumeChanges(base::WallNowMillis());
}

std::vector<safety::SuspectReport> CrashGuard::reports() const {
  return table_.reports(base::WallNowMillis());
}

}  // namespace wagtailpick::relay
