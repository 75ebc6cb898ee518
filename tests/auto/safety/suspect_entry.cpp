#include "suspect_entry.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::safety {
namespace {

constexpr std::int64_t kDeadlineMs = 1000;
constexpr std::int64_t kBroadcastTimeoutMs = 150;
constexpr std::int64_t kResendIntervalMs = 25;
constexpr int kMaxSends = 5;
/// Percentage of messages that are lost.
constexpr int kLossPercent = 8;

}  // namespace

SuspectEntry::SuspectEntry(Environment environment, std::size_t index)
    : env_(std::move(environment)), index_(index), clock_offset_ms_(env_.random.Between(-40, 40)) {
  table_.emplace(SuspectLimits{});
}

void SuspectEntry::Deliver(const EventQueue::Task& task) {
  if (!up_) return;
  if (paused_until_ <= env_.queue.now()) {
    task();
    return;
  }
  env_.queue.After(paused_until_ - env_.queue.now(), [this, task, generation = generation_] {
    if (generation == generation_) Deliver(task);
  });
}

void SuspectEntry::OnRequest(const Request& request, const Reply& reply) {
  Deliver([this, request, reply] {
    const CheckResult check = table_->Check(request.fingerprint, wall());
    if (check.action == Action::kBlocked) {
      reply(Outcome::kBlocked);
    } else if (check.action == Action::kServe) {
      Forward(request, reply);
    } else {
      Request trial = request;
      trial.trial_key = check.trial_key;
      ClaimTrial(trial, reply);
    }
  });
}

void SuspectEntry::ClaimTrial(const Request& request, const Reply& reply) {
  env_.queue.After(env_.random.Between(2, 80), [this, request, reply, generation = generation_] {
    if (generation != generation_) return;
    const auto result = env_.options.disabled == Disabled::kTrialRegister
                            ? TrialRegister::Result::kWon
                            : env_.trials.Claim(request.trial_key, env_.queue.now(),
                                                env_.queue.now() + kDeadlineMs + 100);
    Deliver([this, request, reply, result] {
      if (result == TrialRegister::Result::kWon) {
        ++env_.counts.trials;
        Forward(request, reply);
        return;
      }
      const bool is_strike = result == TrialRegister::Result::kUnresolved &&
                             env_.options.disabled != Disabled::kUnresolvedTrial;
      if (result == TrialRegister::Result::kUnresolved && !is_strike) {
        env_.trials.Release(request.trial_key);
      }
      if (!is_strike) {
        reply(Outcome::kMayHaveRun);
        return;
      }
      const auto report =
          table_->AddUnresolvedTrial(request.fingerprint, request.trial_key, wall());
      Broadcast({report}, [reply] { reply(Outcome::kBlocked); });
    });
  });
}

void SuspectEntry::Forward(const Request& unsent, const Reply& reply) {
  Request request = unsent;
  request.deadline = env_.queue.now() + kDeadlineMs;
  const std::size_t chosen = env_.random.Below(env_.upstreams.size());
  const Upstream& upstream = env_.upstreams[chosen];
  const UpstreamRun run = request.run = upstream.run;
  SuspectEntry& owner = *env_.entries[upstream.owner];
  const LostConnection lost{std::to_string(env_.random.Next()), run, upstream.announcement,
                            request.trial_key.empty() ? owner.session() : ""};
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, request, run, reply, done, generation = generation_](Outcome outcome) {
    env_.queue.After(env_.random.Between(1, 30), [=, this] {
      if (generation == generation_ && !std::exchange(*done, true)) {
        Deliver([=, this] { OnDone(request, run, outcome, reply); });
      }
    });
  };
  env_.queue.After(env_.random.Between(1, 30), [this, &owner, chosen, request, finish] {
    owner.OnForward(index_, chosen, request, finish);
  });
  // The owner ended, or its answer was lost.
  env_.queue.After(kDeadlineMs + 200, [=, this, generation = generation_] {
    if (generation == generation_ && !std::exchange(*done, true)) {
      Deliver([=, this] { OnForwardLost(lost, request, reply); });
    }
  });
}

void SuspectEntry::OnForward(std::size_t from, std::size_t upstream, const Request& request,
                             const Reply& reply) {
  Deliver([this, from, upstream, request, reply] {
    const CheckResult check = table_->Check(request.fingerprint, wall());
    const bool is_refused =
        check.action == Action::kBlocked ||
        (check.action == Action::kTrial && check.trial_key != request.trial_key);
    Upstream& target = env_.upstreams[upstream];
    if (is_refused) {
      for (const SuspectReport& report : table_->reports(wall())) {
        if (report.fingerprint == request.fingerprint) env_.entries[from]->OnReport(index_, report);
      }
      reply(Outcome::kNotRun);
    } else if (!target.up || target.run != request.run || target.owner != index_ ||
               env_.queue.now() > request.deadline) {
      reply(Outcome::kNotRun);
    } else {
      env_.run(target, request, reply);
    }
  });
}

void SuspectEntry::OnDone(const Request& request, const UpstreamRun& run, Outcome outcome,
                          const Reply& reply) {
  if (outcome == Outcome::kNotRun && !request.trial_key.empty()) {
    env_.trials.Release(request.trial_key);
  }
  if (outcome == Outcome::kAnswer && env_.options.disabled != Disabled::kRecentSuccess) {
    const auto cleared = table_->AddSuccess(request.fingerprint, run.address, wall());
    if (cleared) Broadcast({*cleared}, [] {});
  }
  reply(outcome);
}

// The upstream may have crashed, and its owner may have ended before it could report the crash.
void SuspectEntry::OnForwardLost(const LostConnection& lost, const Request& request,
                                 const Reply& reply) {
  if (env_.options.disabled == Disabled::kLostForward) {
    reply(Outcome::kMayHaveRun);
    return;
  }
  Broadcast({table_->AddStrike(request.fingerprint, lost, wall())},
            [reply] { reply(Outcome::kMayHaveRun); });
}

void SuspectEntry::OnConnectionsLost(const UpstreamRun& run, std::uint64_t announcement,
                                     const std::vector<Upstream::Running>& lost) {
  Deliver([=, this] {
    const LostConnection event{std::to_string(env_.random.Next()), run, announcement, {}};
    std::vector<SuspectReport> reports;
    reports.reserve(lost.size());
    for (const Upstream::Running& item : lost) {
      reports.push_back(table_->AddStrike(item.request.fingerprint, event, wall()));
    }
    Broadcast(reports, [lost] {
      for (const Upstream::Running& item : lost) item.reply(Outcome::kMayHaveRun);
    });
  });
}

void SuspectEntry::OnAnnouncement(const UpstreamRun& run, std::uint64_t announcement) {
  Deliver([=, this] {
    const auto withdrawn = table_->WithdrawStrikes(run, announcement, wall());
    if (!withdrawn.empty()) Broadcast(withdrawn, [] {});
  });
}

// Sends to all entries, resends lost messages, and continues after the timeout.
void SuspectEntry::Broadcast(const std::vector<SuspectReport>& reports,
                             const std::function<void()>& then) {
  if (env_.options.disabled == Disabled::kBroadcastBeforeAnswer) {
    then();
    return;
  }
  for (const SuspectReport& report : reports) {
    for (std::size_t entry = 0; entry < env_.entries.size(); ++entry) {
      if (entry != index_) SendReport(entry, report, kMaxSends);
    }
  }
  env_.queue.After(kBroadcastTimeoutMs, [this, then, generation = generation_] {
    if (generation == generation_) Deliver(then);
  });
}

void SuspectEntry::SendReport(std::size_t entry, const SuspectReport& report, int sends_left) {
  if (sends_left == 0) return;
  if (!env_.random.Chance(kLossPercent)) {
    const int copies = env_.random.Chance(10) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      env_.queue.After(env_.random.Between(1, kResendIntervalMs),
                       [this, entry, report] { env_.entries[entry]->OnReport(index_, report); });
    }
    return;
  }
  env_.queue.After(kResendIntervalMs, [=, this, generation = generation_] {
    if (generation == generation_) SendReport(entry, report, sends_left - 1);
  });
}

void SuspectEntry::OnReport(std::size_t from, const SuspectReport& report) {
  Deliver([this, from, report] {
    const auto more = table_->Merge(report, wall());
    if (!more || env_.random.Chance(kLossPercent)) return;
    env_.queue.After(env_.random.Between(1, kResendIntervalMs), [this, from, more = *more] {
      SuspectEntry& sender = *env_.entries[from];
      sender.Deliver([&sender, more] { sender.table_->Merge(more, sender.wall()); });
    });
  });
}

void SuspectEntry::ExchangeChanges() {
  Deliver([this] {
    for (const SuspectReport& report : table_->ConsumeChanges(wall())) {
      for (std::size_t entry = 0; entry < env_.entries.size(); ++entry) {
        if (entry != index_) SendReport(entry, report, 1);
      }
    }
  });
}

bool SuspectEntry::IsSuspect(const Fingerprint& fingerprint) {
  const auto reports = table_->reports(wall());
  return up_ && std::any_of(reports.begin(), reports.end(), [&](const SuspectReport& report) {
           return report.fingerprint == fingerprint && CountLostUpstreams(report, true) > 0;
         });
}

void SuspectEntry::Kill(std::int64_t down_ms) {
  if (!up_) return;
  ++generation_;
  up_ = false;
  paused_until_ = 0;
  env_.queue.After(down_ms, [this] { Start(); });
}

void SuspectEntry::Start() {
  table_.emplace(SuspectLimits{});
  up_ = true;
  if (env_.options.disabled == Disabled::kFetchAtStart) return;
  for (const auto& entry : env_.entries) {
    if (entry.get() == this || !entry->up_) continue;
    for (const SuspectReport& report : entry->table_->reports(entry->wall())) {
      table_->Merge(report, wall());
    }
  }
}

}  // namespace wagtailpick::safety
