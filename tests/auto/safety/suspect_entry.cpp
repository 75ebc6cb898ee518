#include "suspect_entry.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::safety {
namespace {

constexpr std::int64_t kDeadlineMs = 1000;
constexpr std::int64_t kTellBoundMs = 150;
constexpr std::int64_t kTellAgainMs = 25;
constexpr int kTellTries = 5;
constexpr int kLossPercent = 8;

}  // namespace

SuspectEntry::SuspectEntry(Surroundings surroundings, std::size_t index)
    : s_(std::move(surroundings)), index_(index), clock_offset_ms_(s_.dice.Between(-40, 40)) {
  table_.emplace(SuspectLimits{});
}

void SuspectEntry::Do(const EventQueue::Task& task) {
  if (!up_) return;
  if (paused_until_ <= s_.queue.now()) {
    task();
    return;
  }
  s_.queue.After(paused_until_ - s_.queue.now(), [this, task, life = life_] {
    if (life == life_) Do(task);
  });
}

void SuspectEntry::OnRequest(const Request& request, const Reply& reply) {
  Do([this, request, reply] {
    const CheckResult ruling = table_->Check(request.fingerprint, wall());
    if (ruling.action == Action::kBlocked) {
      reply(Told::kBlocked);
    } else if (ruling.action == Action::kServe) {
      Forward(request, reply);
    } else {
      Request trial = request;
      trial.trial_key = ruling.trial_key;
      ClaimTrial(trial, reply);
    }
  });
}

void SuspectEntry::ClaimTrial(const Request& request, const Reply& reply) {
  s_.queue.After(s_.dice.Between(2, 80), [this, request, reply, life = life_] {
    if (life != life_) return;
    const auto result = s_.options.disabled == Disabled::kTrialRegister
                            ? TrialRegister::Result::kWon
                            : s_.trials.Claim(request.trial_key, s_.queue.now(),
                                              s_.queue.now() + kDeadlineMs + 100);
    Do([this, request, reply, result] {
      if (result == TrialRegister::Result::kWon) {
        ++s_.counts.trials;
        Forward(request, reply);
        return;
      }
      const bool is_lost = result == TrialRegister::Result::kUnresolved &&
                           s_.options.disabled != Disabled::kUnresolvedTrial;
      if (result == TrialRegister::Result::kUnresolved && !is_lost) {
        s_.trials.Release(request.trial_key);
      }
      if (!is_lost) {
        reply(Told::kMayHaveRun);
        return;
      }
      const auto report =
          table_->AddUnresolvedTrial(request.fingerprint, request.trial_key, wall());
      Tell({report}, [reply] { reply(Told::kBlocked); });
    });
  });
}

void SuspectEntry::Forward(const Request& unsent, const Reply& reply) {
  Request request = unsent;
  request.deadline = s_.queue.now() + kDeadlineMs;
  const std::size_t chosen = s_.dice.Below(s_.upstreams.size());
  const Upstream& upstream = s_.upstreams[chosen];
  const UpstreamRun run = request.run = upstream.run;
  SuspectEntry& owner = *s_.entries[upstream.owner];
  const LostConnection lost{std::to_string(s_.dice.Next()), run, upstream.announcement,
                            request.trial_key.empty() ? owner.session() : ""};
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, request, run, reply, done, life = life_](Told told) {
    s_.queue.After(s_.dice.Between(1, 30), [=, this] {
      if (life == life_ && !std::exchange(*done, true)) {
        Do([=, this] { OnDone(request, run, told, reply); });
      }
    });
  };
  s_.queue.After(s_.dice.Between(1, 30), [this, &owner, chosen, request, finish] {
    owner.OnForward(index_, chosen, request, finish);
  });
  // The owner died, or its answer never came.
  s_.queue.After(kDeadlineMs + 200, [=, this, life = life_] {
    if (life == life_ && !std::exchange(*done, true)) {
      Do([=, this] { OnForwardLost(lost, request, reply); });
    }
  });
}

void SuspectEntry::OnForward(std::size_t from, std::size_t upstream, const Request& request,
                             const Reply& reply) {
  Do([this, from, upstream, request, reply] {
    const CheckResult ruling = table_->Check(request.fingerprint, wall());
    const bool is_ruled_out =
        ruling.action == Action::kBlocked ||
        (ruling.action == Action::kTrial && ruling.trial_key != request.trial_key);
    Upstream& target = s_.upstreams[upstream];
    if (is_ruled_out) {
      for (const SuspectReport& report : table_->reports(wall())) {
        if (report.fingerprint == request.fingerprint) s_.entries[from]->OnReport(index_, report);
      }
      reply(Told::kNotRun);
    } else if (!target.up || target.run != request.run || target.owner != index_ ||
               s_.queue.now() > request.deadline) {
      reply(Told::kNotRun);
    } else {
      s_.run(target, request, reply);
    }
  });
}

void SuspectEntry::OnDone(const Request& request, const UpstreamRun& run, Told told,
                          const Reply& reply) {
  if (told == Told::kNotRun && !request.trial_key.empty()) s_.trials.Release(request.trial_key);
  if (told == Told::kAnswer && s_.options.disabled != Disabled::kRecentSuccess) {
    const auto cleared = table_->AddSuccess(request.fingerprint, run.address, wall());
    if (cleared) Tell({*cleared}, [] {});
  }
  reply(told);
}

// The upstream may have crashed, and its owner as well before it could tell anybody.
void SuspectEntry::OnForwardLost(const LostConnection& lost, const Request& request,
                                 const Reply& reply) {
  if (s_.options.disabled == Disabled::kLostForward) {
    reply(Told::kMayHaveRun);
    return;
  }
  Tell({table_->AddStrike(request.fingerprint, lost, wall())},
       [reply] { reply(Told::kMayHaveRun); });
}

void SuspectEntry::OnConnectionsLost(const UpstreamRun& run, std::uint64_t announcement,
                                     const std::vector<Upstream::Running>& lost) {
  Do([=, this] {
    const LostConnection event{std::to_string(s_.dice.Next()), run, announcement, {}};
    std::vector<SuspectReport> reports;
    reports.reserve(lost.size());
    for (const Upstream::Running& item : lost) {
      reports.push_back(table_->AddStrike(item.request.fingerprint, event, wall()));
    }
    Tell(reports, [lost] {
      for (const Upstream::Running& item : lost) item.reply(Told::kMayHaveRun);
    });
  });
}

void SuspectEntry::OnAnnouncement(const UpstreamRun& run, std::uint64_t announcement) {
  Do([=, this] {
    const auto withdrawn = table_->WithdrawStrikes(run, announcement, wall());
    if (!withdrawn.empty()) Tell(withdrawn, [] {});
  });
}

// Tells all entries, again until each has answered, and goes on when the bound is over.
void SuspectEntry::Tell(const std::vector<SuspectReport>& reports,
                        const std::function<void()>& then) {
  if (s_.options.disabled == Disabled::kTellBeforeAnswer) {
    then();
    return;
  }
  for (const SuspectReport& report : reports) {
    for (std::size_t entry = 0; entry < s_.entries.size(); ++entry) {
      if (entry != index_) TellOne(entry, report, kTellTries);
    }
  }
  s_.queue.After(kTellBoundMs, [this, then, life = life_] {
    if (life == life_) Do(then);
  });
}

void SuspectEntry::TellOne(std::size_t entry, const SuspectReport& report, int tries_left) {
  if (tries_left == 0) return;
  if (!s_.dice.Chance(kLossPercent)) {
    const int copies = s_.dice.Chance(10) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      s_.queue.After(s_.dice.Between(1, kTellAgainMs),
                     [this, entry, report] { s_.entries[entry]->OnReport(index_, report); });
    }
    return;
  }
  s_.queue.After(kTellAgainMs, [=, this, life = life_] {
    if (life == life_) TellOne(entry, report, tries_left - 1);
  });
}

void SuspectEntry::OnReport(std::size_t from, const SuspectReport& report) {
  Do([this, from, report] {
    const auto more = table_->Merge(report, wall());
    if (!more || s_.dice.Chance(kLossPercent)) return;
    s_.queue.After(s_.dice.Between(1, kTellAgainMs), [this, from, more = *more] {
      SuspectEntry& sender = *s_.entries[from];
      sender.Do([&sender, more] { sender.table_->Merge(more, sender.wall()); });
    });
  });
}

void SuspectEntry::ExchangeChanges() {
  Do([this] {
    for (const SuspectReport& report : table_->ConsumeChanges(wall())) {
      for (std::size_t entry = 0; entry < s_.entries.size(); ++entry) {
        if (entry != index_) TellOne(entry, report, 1);
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
  ++life_;
  up_ = false;
  paused_until_ = 0;
  s_.queue.After(down_ms, [this] { Start(); });
}

void SuspectEntry::Start() {
  table_.emplace(SuspectLimits{});
  up_ = true;
  if (s_.options.disabled == Disabled::kAskAtStart) return;
  for (const auto& entry : s_.entries) {
    if (entry.get() == this || !entry->up_) continue;
    for (const SuspectReport& report : entry->table_->reports(entry->wall())) {
      table_->Merge(report, wall());
    }
  }
}

}  // namespace wagtailpick::safety
