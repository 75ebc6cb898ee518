#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/verdict.h"
#include "claims/record.h"

namespace wagtailpick::claims {

/// Broken promises of a run, and how much happened in it.
struct Counts {
  std::uint64_t second_runs = 0;
  std::uint64_t wrong_not_run = 0;
  std::uint64_t foreign_answers = 0;
  std::uint64_t runs = 0;
  std::uint64_t replays = 0;
  std::uint64_t not_run = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t copies_done = 0;
  std::uint64_t contested = 0;
  std::uint64_t events = 0;

  std::uint64_t violations() const { return second_runs + wrong_not_run + foreign_answers; }
  void Add(const Counts& other);
};

/// Sees every run and every answer, and counts the promises broken.
class RunChecker {
 public:
  void OnRun(int key, int body, const AttemptId& attempt);
  /// An entry has read a request.
  void OnStart(int key, const AttemptId& attempt);
  /// "Not run" must hold for all attempts at the key that have started until now.
  void OnNotRun(int key);
  void OnAnswer(int key, int body, const std::string& answer);
  void OnReplay(int key, int body, const std::string& answer);

  static std::string AnswerOf(int key, int body, const AttemptId& attempt);
  Counts& counts() { return counts_; }

 private:
  struct Run {
    int body;
    AttemptId attempt;
  };

  std::map<int, std::vector<Run>> runs_;
  std::map<int, std::set<AttemptId>> started_;
  std::map<int, std::set<AttemptId>> must_not_run_;
  Counts counts_;
};

}  // namespace wagtailpick::claims
