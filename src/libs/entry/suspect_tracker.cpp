#include "entry/suspect_tracker.h"

#include <memory>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "entry/suspect_codec.h"
#include "rpc/stamp.h"

namespace wagtailpick::entry {
namespace {

/// About one round trip between regions. An answer waits at most this long for a strike to be
/// recorded by the other entries.
constexpr base::Duration kBroadcastTimeout = std::chrono::milliseconds(150);

SendDecision ToSendDecision(const claims::Decision& decision) {
  switch (decision.result) {
    case claims::RoundResult::kRun:
      return SendDecision::kSend;
    case claims::RoundResult::kUnavailable:
      return SendDecision::kUnavailable;
    case claims::RoundResult::kMayHaveRun:
      return SendDecision::kBlocked;
    default:
      return SendDecision::kTrialRunning;
  }
}

}  // namespace

SuspectTracker::SuspectTracker(PeerSet& peers, ClaimClient& claims, base::EventLoop& loop,
                               timeline::EventRing& events)
    : peers_(peers), claims_(claims), loop_(loop), events_(events) {}

void SuspectTracker::DecideSend(const safety::Fingerprint& fingerprint,
                                std::int64_t deadline_unix_ms,
                                const std::function<void(SendDecision)>& done) {
  const auto ruling = table_.Check(fingerprint, base::WallNowMillis());
  if (ruling.action == safety::Action::kServe) return done(SendDecision::kSend);
  if (ruling.action == safety::Action::kTrial) {
    return StartTrial(fingerprint, ruling.trial_key, deadline_unix_ms, done);
  }
  events_.Record(base::WallNowMillis(), timeline::EventKind::kRequestBlocked,
                 safety::ToHex(fingerprint), "refused");
  done(SendDecision::kBlocked);
}

void SuspectTracker::StartTrial(const safety::Fingerprint& fingerprint,
                                const std::string& trial_key, std::int64_t deadline_unix_ms,
                                const std::function<void(SendDecision)>& done) {
  claims::ClaimRequest request;
  request.table = claims::Table::kTrials;
  request.key = claims::DigestTrial(trial_key);
  request.attempt = NewAttempt();
  request.started_at = base::WallNowMillis();
  request.deadline = deadline_unix_ms;
  claims_.Claim(request, [this, fingerprint, trial_key, done](const claims::Decision& decision) {
    if (decision.result == claims::RoundResult::kMayHaveRun) {
      const auto report = table_.AddUnresolvedTrial(fingerprint, trial_key, base::WallNowMillis());
      Broadcast({report}, [] {});
    }
    done(ToSendDecision(decision));
  });
}

void SuspectTracker::RecordStrike(const safety::Fingerprint& fingerprint,
                                  const safety::LostConnection& lost,
                                  const std::function<void()>& done) {
  events_.Record(base::WallNowMillis(), timeline::EventKind::kRequestSuspect,
                 safety::ToHex(fingerprint), lost.upstream.address);
  Broadcast({table_.AddStrike(fingerprint, lost, base::WallNowMillis())}, done);
}

void SuspectTracker::RecordSuccess(const safety::Fingerprint& fingerprint,
                                   const std::string& upstream) {
  const auto report = table_.AddSuccess(fingerprint, upstream, base::WallNowMillis());
  if (report) Broadcast({*report}, [] {});
}

void SuspectTracker::RecordAnnouncement(const safety::UpstreamRun& upstream,
                                        std::uint64_t announcement) {
  const auto reports = table_.WithdrawStrikes(upstream, announcement, base::WallNowMillis());
  if (!reports.empty()) Broadcast(reports, [] {});
}

rpc::SuspectReply SuspectTracker::Merge(const rpc::SuspectRequest& request) {
  rpc::ApplyStamp(events_, request);
  rpc::SuspectReply reply;
  for (const auto& wire : request.reports()) {
    const auto report = FromWire(wire);
    if (!report) continue;
    const auto lacking = table_.Merge(report.value(), base::WallNowMillis());
    if (lacking) *reply.add_reports() = ToWire(*lacking);
  }
  if (!request.wants_all()) return reply;
  for (const auto& report : table_.reports(base::WallNowMillis())) {
    *reply.add_reports() = ToWire(report);
  }
  return reply;
}

void SuspectTracker::RequestAllReports(rpc::Client& peer) {
  rpc::SuspectRequest request;
  request.set_wants_all(true);
  rpc::AddStamp(events_, request);
  peer.Suspect(request, kBroadcastTimeout, [this](base::Result<rpc::SuspectReply> reply) {
    loop_.Post([this, reply = std::move(reply)] { HandleReply(reply); });
  });
}

void SuspectTracker::Tick() {
  const auto changes = table_.ConsumeChanges(base::WallNowMillis());
  if (!changes.empty()) Broadcast(changes, [] {});
}

void SuspectTracker::Broadcast(const std::vector<safety::SuspectReport>& reports,
                               const std::function<void()>& done) {
  rpc::SuspectRequest request;
  for (const auto& report : reports) *request.add_reports() = ToWire(report);
  rpc::AddStamp(events_, request);
  const auto waiting = std::make_shared<std::size_t>(peers_.all().size());
  if (*waiting == 0) return done();
  for (const auto& [vm, peer] : peers_.all()) {
    peer->Suspect(request, kBroadcastTimeout,
                  [this, waiting, done](base::Result<rpc::SuspectReply> reply) {
                    loop_.Post([this, waiting, done, reply = std::move(reply)] {
                      HandleReply(reply);
                      if (--*waiting == 0) done();
                    });
                  });
  }
}

void SuspectTracker::HandleReply(const base::Result<rpc::SuspectReply>& reply) {
  if (!reply) return;
  for (const auto& wire : reply.value().reports()) {
    const auto report = FromWire(wire);
    if (report) table_.Merge(report.value(), base::WallNowMillis());
  }
}

}  // namespace wagtailpick::entry
