#include "run_checker.h"

namespace wagtailpick::claims {

void Counts::Add(const Counts& other) {
  second_runs += other.second_runs;
  wrong_not_run += other.wrong_not_run;
  foreign_answers += other.foreign_answers;
  runs += other.runs;
  replays += other.replays;
  not_run += other.not_run;
  disks_lost += other.disks_lost;
  copies_done += other.copies_done;
  contested += other.contested;
  events += other.events;
}

void RunChecker::OnRun(int key, int body, const AttemptId& attempt) {
  ++counts_.runs;
  std::vector<Run>& runs = runs_[key];
  runs.push_back({body, attempt});
  if (runs.size() > 1) ++counts_.second_runs;
  if (must_not_run_[key].contains(attempt)) ++counts_.wrong_not_run;
}

void RunChecker::OnStart(int key, const AttemptId& attempt) { started_[key].insert(attempt); }

void RunChecker::OnNotRun(int key) {
  ++counts_.not_run;
  if (!runs_[key].empty()) ++counts_.wrong_not_run;
  must_not_run_[key] = started_[key];
}

void RunChecker::OnAnswer(int key, int body, const std::string& answer) {
  for (const Run& run : runs_[key]) {
    if (run.body == body && AnswerOf(key, body, run.attempt) == answer) return;
  }
  ++counts_.foreign_answers;
}

void RunChecker::OnReplay(int key, int body, const std::string& answer) {
  ++counts_.replays;
  OnAnswer(key, body, answer);
}

std::string RunChecker::AnswerOf(int key, int body, const AttemptId& attempt) {
  return std::to_string(key) + "/" + std::to_string(body) + "/" +
         std::string(attempt.begin(), attempt.end());
}

}  // namespace wagtailpick::claims
