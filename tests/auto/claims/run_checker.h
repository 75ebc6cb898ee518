#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/verdict.h"
#include "claims/record.h"

namespace wagtailpick::claims {

/// Counters of a simulation: violated guarantees, and events.
struct Counts {
  /// Requests that ran more than once.
  std::uint64_t second_runs = 0;
  /// Verdicts "not run" for requests that ran before or after.
  std::uint64_t wrong_not_run = 0;
  /// Answers that belong to another request.
  std::uint64_t foreign_answers = 0;
  std::uint64_t runs = 0;
  std::uint64_t replays = 0;
  /// Verdicts "not run".
  std::uint64_t not_run = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t copies_done = 0;
  std::uint64_t contested = 0;
  std::uint64_t events = 0;

  std::uint64_t violations() const { return second_runs + wrong_not_run + foreign_answers; }
  void Add(const Counts& other);
};

/// Is informed of each run and each answer, and counts the violated guarantees.
class RunChecker {
 public:
  /// An upstream runs a request.
  void OnRun(int key, int body, const AttemptId& attempt);
  /// An entry has received a request.
  void OnStart(int key, const AttemptId& attempt);
  /// A caller is sent the verdict "not run". It must hold for all attempts at the key that have
  /// started until now.
  void OnNotRun(int key);
  /// A caller is sent the answer of an upstream, or a stored answer.
  void OnAnswer(int key, int body, const std::string& answer);
  void OnReplay(int key, int body, const std::string& answer);

  /// Returns the answer of the simulated upstream to an attempt.
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
