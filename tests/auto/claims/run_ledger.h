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
  /// An attempt ran after its entry had decided that it must not.
  std::uint64_t runs_after_refusal = 0;
  std::uint64_t runs = 0;
  std::uint64_t replays = 0;
  std::uint64_t not_run = 0;
  /// "Not run" said while another attempt that nobody had heard of was still on its way.
  std::uint64_t later_unseen_runs = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t copies_done = 0;
  std::uint64_t contested = 0;
  std::uint64_t events = 0;

  std::uint64_t violations() const {
    return second_runs + wrong_not_run + foreign_answers + runs_after_refusal;
  }
  void Add(const Counts& other);
};

/// Sees every run and every answer, and counts the promises broken.
class RunLedger {
 public:
  void OnRun(int key, int body, const AttemptId& attempt);
  void OnNotRun(int key, const AttemptId& attempt, const std::set<AttemptId>& seen);
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
  /// Attempts that were known when "not run" was said, by key.
  std::map<int, std::set<AttemptId>> must_not_run_;
  std::set<int> said_not_run_;
  Counts counts_;
};

}  // namespace wagtailpick::claims
