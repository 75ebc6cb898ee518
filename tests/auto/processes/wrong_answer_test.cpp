#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "harness/cluster.h"
#include "harness/expect.h"

using wagtailpick::processes::Answer;
using wagtailpick::processes::CallerRequest;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

namespace {

constexpr std::size_t kEntries = 3;

// The answer that the caller must receive when the upstream has the given fault.
struct Case {
  const char* fault;
  int status;
  const char* verdict;
  // Expected reason of the error; null if any reason is accepted, as the caller cannot see the
  // fault.
  const char* reason;
};

constexpr std::array<Case, 6> kCases{{
    {"truncate", 502, "may_have_run", "connection_lost"},
    {"close", 502, "may_have_run", "connection_lost"},
    {"foreign", 502, "may_have_run", "foreign_answer"},
    {"twice", 200, "ran", ""},
    {"shed", 503, "not_run", "shed"},
    {"hang", 502, "may_have_run", nullptr},
}};

// The request was refused before it reached an upstream, so the test can send it again.
bool WasRefusedByEntry(const Answer& answer) {
  return answer.verdict == "not_run" && answer.reason != "shed";
}

void CheckCase(const Cluster& cluster, const Case& expected, const std::string& entry,
               const std::string& path) {
  CallerRequest request;
  request.address = entry;
  request.target = "/s/listings" + path;
  request.headers = {{"X-Standin", expected.fault}};
  Answer answer;
  WaitUntil(std::string(expected.fault) + " reaches an upstream", [&] {
    answer = cluster.http().Send(request);
    return !WasRefusedByEntry(answer);
  });
  const std::string text = std::string(expected.fault) + ": " + answer.Text();
  Expect(answer.status == expected.status && answer.verdict == expected.verdict, text);
  Expect(expected.reason == nullptr || answer.reason == expected.reason, text);
  if (expected.status == 200) {
    Expect(answer.body == "GET " + path + " ", text);
  } else {
    Expect(answer.has_retry_after, "no Retry-After: " + text);
    // The body contains no part of this request's answer or of another caller's.
    Expect(answer.body.find("GET /") == std::string::npos, text);
    Expect(answer.body.find("another caller") == std::string::npos, text);
  }
}

// A caller that sends ordinary requests concurrently and checks that it receives only its own
// answers or errors.
class BackgroundCaller {
 public:
  BackgroundCaller(const Cluster& cluster, std::string name)
      : cluster_(cluster), name_(std::move(name)), thread_([this] { Run(); }) {}
  ~BackgroundCaller() { Stop(); }
  BackgroundCaller(const BackgroundCaller&) = delete;
  BackgroundCaller& operator=(const BackgroundCaller&) = delete;

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const std::string& problem() const { return problem_; }
  std::size_t answered() const { return answered_; }

 private:
  void Run() {
    for (std::size_t i = 0; !stopping_ && problem_.empty(); ++i) {
      const std::string path = "/" + name_ + "-" + std::to_string(i);
      const auto& entry = entries_.at(i % kEntries);
      const Answer answer = cluster_.http().Get(entry, "/s/listings" + path);
      const bool is_own = answer.status == 200 && answer.body == "GET " + path + " ";
      const bool is_error = answer.whole && answer.status >= 400 &&
                            answer.body.find("GET /") == std::string::npos &&
                            answer.body.find("another caller") == std::string::npos;
      if (is_own) ++answered_;
      if (!is_own && !is_error) problem_ = path + ": " + answer.Text();
    }
  }

  const Cluster& cluster_;
  std::string name_;
  std::vector<std::string> entries_{cluster_.entry_address(0), cluster_.entry_address(1),
                                    cluster_.entry_address(2)};
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> answered_ = 0;
  std::string problem_;
  std::thread thread_;
};

}  // namespace

// Guards against a partial answer, another caller's answer or a wrong verdict when an upstream
// truncates its answer, closes the connection, answers with another request's id, answers twice,
// sheds the request or hangs.
Test(wrong_answer, never_reaches_a_caller) {
  RunTest([] {
    Cluster cluster;
    for (const char* place : {"mvd-1", "mvd-1", "mvd-1", "pde-1"}) {
      cluster.AddUpstream("listings", place);
    }
    cluster.WaitUntilServed("listings");
    BackgroundCaller first(cluster, "first");
    BackgroundCaller second(cluster, "second");
    for (const auto& expected : kCases) {
      for (std::size_t i = 0; i < kEntries; ++i) {
        const auto& entry = cluster.entry_address(i);
        const std::string suffix = std::string(expected.fault) + "-" + std::to_string(i);
        CheckCase(cluster, expected, entry, "/fault-" + suffix);
        WaitUntil("a correct answer follows " + suffix, [&] {
          const std::string path = "/after-" + suffix;
          const Answer answer = cluster.http().Get(entry, "/s/listings" + path);
          Expect(answer.status != 200 || answer.body == "GET " + path + " ", answer.Text());
          return answer.status == 200;
        });
      }
    }
    first.Stop();
    second.Stop();
    Expect(first.problem().empty(), first.problem());
    Expect(second.problem().empty(), second.problem());
    Expect(first.answered() > 0 && second.answered() > 0,
           "the background callers received no answer");
  });
}
