#include "relay/crash_guard.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/endpoint.h"

namespace wagtailpick::relay {
namespace {

using logging::Level;

/// The users' bound; a request that was near a failing upstream twice by chance still runs.
constexpr std::size_t kEndsToBlock = 3;
/// Requests that were running on the upstreams of a whole data centre when it was lost.
constexpr std::size_t kMaxSuspects = 2'000;
/// A block lasts 600 s from its last renewal, and each renewal is told to all processes.
constexpr safety::WallMillis kRenewalStepMs = 30'000;
/// An upstream that has ended announces itself again within some seconds.
constexpr base::Duration kExplainWithin = std::chrono::seconds(30);
constexpr std::size_t kMaxUnexplained = 256;
constexpr std::size_t kMaxStruckRuns = 1'000;
/// Enough to tell requests apart in logs.
constexpr std::size_t kLoggedDigits = 16;

std::string Shortened(const safety::Fingerprint& fingerprint) {
  return safety::ToHex(fingerprint).substr(0, kLoggedDigits);
}

}  // namespace

safety::SuspectLimits CrashLimits() {
  safety::SuspectLimits limits;
  limits.max_fingerprints = kMaxSuspects;
  limits.max_recent_successes = 0;
  limits.strikes_to_block = kEndsToBlock;
  limits.renewal_step_ms = kRenewalStepMs;
  return limits;
}

CrashGuard::CrashGuard(asio::io_context& loop, DecisionLog& log, metrics::Registry& registry)
    : probe_(loop), log_(log), metrics_(registry), table_(CrashLimits()) {}

bool CrashGuard::IsBlocked(const safety::Fingerprint& fingerprint) {
  return table_.Check(fingerprint, base::WallNowMillis()).action == safety::Action::kBlocked;
}

bool CrashGuard::IsSuspect(const safety::Fingerprint& fingerprint) {
  return table_.LostUpstreamCount(fingerprint, base::WallNowMillis()) > 0;
}

bool CrashGuard::IsOneCrashFromBlock(const safety::Fingerprint& fingerprint) {
  return table_.LostUpstreamCount(fingerprint, base::WallNowMillis()) + 1 >= kEndsToBlock;
}

void CrashGuard::ExamineLoss(const LostExchange& lost, std::function<void()> done) {
  const auto endpoint = base::ParseEndpoint(lost.run.address);
  if (!endpoint) return done();
  probe_.Ask(endpoint.value(), [this, lost, done = std::move(done)](net::ProbeVerdict verdict) {
    TakeVerdict(lost, verdict);
    done();
  });
}

void CrashGuard::TakeVerdict(const LostExchange& lost, net::ProbeVerdict verdict) {
  const std::string name(net::ToString(verdict));
  metrics_.CounterAt("wagtailpick_lost_exchanges_total", "upstream=\"" + name + "\"").Add();
  if (verdict == net::ProbeVerdict::kEnded) Strike(lost);
  if (verdict == net::ProbeVerdict::kUnknown) {
    unexplained_.push_back({lost, base::MonotonicNow()});
    if (unexplained_.size() > kMaxUnexplained) unexplained_.pop_front();
  }
  const auto ends = table_.LostUpstreamCount(lost.fingerprint, base::WallNowMillis());
  log_.Write(Level::kInfo, "loss_examined", "the upstream of a lost exchange: " + name,
             {{"request_id", lost.request_id},
              {"fingerprint", Shortened(lost.fingerprint)},
              {"upstream", lost.upstream},
              {"address", lost.run.address},
              {"incarnation", std::to_string(lost.run.incarnation)},
              {"verdict", name},
              {"ends", std::to_string(ends)}},
             base::MonotonicNow());
}

void CrashGuard::Strike(const LostExchange& lost) {
  const auto now = base::WallNowMillis();
  // Entries that see the same end give it the same upstream, so that it counts once.
  const std::string id = lost.run.address + "/" + std::to_string(lost.run.incarnation) + "/" +
                         lost.request_id + "/" + std::to_string(now);
  table_.AddStrike(lost.fingerprint, {id, lost.run, 0, {}}, now);
  if (struck_.size() >= kMaxStruckRuns) struck_.clear();
  struck_[{lost.run.address, lost.run.incarnation}] = base::MonotonicNow();
}

// A refused connection isn't always an end: an upstream refuses those beyond its limit.
void CrashGuard::HandleAnswer(const safety::UpstreamRun& run, base::MonotonicTime sent_at) {
  if (struck_.empty()) return;
  const auto found = struck_.find({run.address, run.incarnation});
  if (found == struck_.end() || sent_at <= found->second) return;
  struck_.erase(found);
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
  while (!unexplained_.empty() && now - unexplained_.front().at > kExplainWithin) {
    unexplained_.pop_front();
  }
  std::erase_if(unexplained_, [&](const Unexplained& one) {
    const auto& run = one.lost.run;
    const bool ended =
        run.address == address && run.incarnation < static_cast<std::uint64_t>(started_unix_ms);
    if (ended) Strike(one.lost);
    return ended;
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
    const auto ends = table_.LostUpstreamCount(report.fingerprint, now);
    if (before == ends) continue;
    log_.Write(Level::kInfo, "suspect_told", "upstreams that have ended under a request",
               {{"fingerprint", Shortened(report.fingerprint)},
                {"ends_before", std::to_string(before)},
                {"ends", std::to_string(ends)}},
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
