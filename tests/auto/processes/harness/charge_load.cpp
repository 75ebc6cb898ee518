#include "harness/charge_load.h"

#include <criterion/logging.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "harness/expect.h"

namespace wagtailpick::processes {
namespace {

/// More than the slots of a test's upstreams, so that the slot limit is reached.
constexpr std::size_t kCallers = 12;
constexpr std::size_t kMaxAttempts = 8;
constexpr std::size_t kSlots = 3;
/// Longer than a request's deadline; then the caller resends through another entry.
constexpr std::chrono::seconds kCallerTimeout{3};
/// Control replicas accept a refused key again only after 100 ms, the allowed clock skew. Half of
/// the callers resend earlier than that, the others later.
constexpr std::chrono::milliseconds kShortRetryDelay{50};
constexpr std::chrono::milliseconds kLongRetryDelay{150};

bool IsRun(const Answer& answer) { return answer.status == 200 && answer.verdict == "ran"; }

}  // namespace

ChargeLoad::ChargeLoad(Cluster& cluster, const std::string& name,
                       const std::vector<std::size_t>& entries)
    : cluster_(cluster), name_(name) {
  for (const auto index : entries) entries_.push_back(cluster.entry(index).http_address);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers_.emplace_back([this, i] { RunCaller(i); });
  }
}

ChargeLoad::~ChargeLoad() { Stop(); }

void ChargeLoad::RunCaller(std::size_t caller) {
  for (std::size_t charge = 0; !stopping_; ++charge) {
    SendUntilAnswered(caller, name_ + "-" + std::to_string(caller) + "-" + std::to_string(charge));
  }
}

void ChargeLoad::SendUntilAnswered(std::size_t caller, const std::string& key) {
  std::vector<Answer> ended;
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto& entry = entries_.at((caller + attempt) % entries_.size());
    auto future = cluster_.http().StartCharge(entry, key, BodyOf(key));
    if (future.wait_for(kCallerTimeout) != std::future_status::ready) {
      // A paused entry may still answer the request after it resumes.
      const std::lock_guard lock(mutex_);
      unanswered_.emplace_back(key, std::move(future));
      continue;
    }
    ended.push_back(future.get());
    if (IsRun(ended.back())) break;
    std::this_thread::sleep_for(caller % 2 == 0 ? kShortRetryDelay : kLongRetryDelay);
  }
  if (std::any_of(ended.begin(), ended.end(), IsRun)) ++answered_;
  const std::lock_guard lock(mutex_);
  answers_[key] = std::move(ended);
}

void ChargeLoad::WaitForMore(std::size_t count) const {
  const std::size_t goal = answered_ + count;
  WaitUntil(std::to_string(count) + " more charges are answered",
            [&] { return answered_ >= goal; });
}

void ChargeLoad::Stop() {
  stopping_ = true;
  for (auto& caller : callers_) {
    if (caller.joinable()) caller.join();
  }
  for (auto& [key, future] : unanswered_) answers_[key].push_back(future.get());
  unanswered_.clear();
}

void ChargeLoad::Check() const {
  std::map<std::string, unsigned> runs;
  std::set<std::string> run_ids;
  for (const auto& upstream : cluster_.upstreams()) {
    nlohmann::json stats;
    WaitUntil("no charge runs any more", [&] {
      stats = cluster_.Stats(upstream);
      return stats.at("running") == 0;
    });
    Expect(stats.at("max_running") <= kSlots, "slots exceeded: " + stats.at("max_running").dump());
    for (const auto& id : stats.at("run_ids")) run_ids.insert(id.get<std::string>());
    for (const auto& [key, count] : stats.at("runs_per_key").items()) {
      runs[key] += count.get<unsigned>();
    }
  }
  for (const auto& [key, answers] : answers_) {
    CheckKey(key, answers, runs[key]);
    for (const auto& answer : answers) {
      const bool is_not_run = answer.verdict == "not_run" || answer.attempt_verdict == "not_run";
      Expect(!is_not_run || !run_ids.contains(answer.request_id), key + " ran: " + answer.Text());
    }
  }
  LogReasons();
}

void ChargeLoad::LogReasons() const {
  std::map<std::string, std::size_t> reasons;
  for (const auto& [key, answers] : answers_) {
    for (const auto& answer : answers) {
      const std::string reason = answer.reason.empty() ? answer.verdict : answer.reason;
      ++reasons[answer.whole ? reason : "no_answer"];
    }
  }
  std::string text;
  for (const auto& [reason, count] : reasons) text += " " + reason + " " + std::to_string(count);
  cr_log_info("%s: %zu charges, %zu answered; answers:%s", name_.c_str(), answers_.size(),
              AnsweredKeys().size(), text.c_str());
}

void ChargeLoad::CheckKey(const std::string& key, const std::vector<Answer>& answers,
                          unsigned runs) const {
  std::string history = key + " ran " + std::to_string(runs) + " times:";
  for (const auto& answer : answers) history += " [" + answer.Text() + "]";
  Expect(runs <= 1, history);
  const bool is_answered = std::any_of(answers.begin(), answers.end(), IsRun);
  if (is_answered) Expect(runs == 1, history);
  for (const auto& answer : answers) {
    if (IsRun(answer)) Expect(answer.body == "POST /pay " + BodyOf(key), history);
    const bool needs_retry_after = answer.whole && !IsRun(answer);
    Expect(!needs_retry_after || answer.has_retry_after, "no Retry-After: " + history);
  }
  const auto last =
      std::max_element(answers.begin(), answers.end(),
                       [](const Answer& a, const Answer& b) { return a.order < b.order; });
  if (!is_answered && last->verdict == "not_run") Expect(runs == 0, history);
}

void ChargeLoad::CheckNoneCutOff() const {
  for (const auto& [key, answers] : answers_) {
    for (const auto& answer : answers) {
      Expect(answer.whole && answer.attempt_verdict != "may_have_run", key + ": " + answer.Text());
    }
  }
}

std::vector<std::string> ChargeLoad::AnsweredKeys() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, answers] : answers_) {
    if (std::any_of(answers.begin(), answers.end(), IsRun)) keys.push_back(key);
  }
  return keys;
}

}  // namespace wagtailpick::processes
