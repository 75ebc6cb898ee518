#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <future>
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

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Longer than the last wait of a stop, so that a request that starts during it is cut.
constexpr unsigned kWorkMs = 400;
// Long enough that no request reaches its deadline on a busy machine.
constexpr unsigned kLongDeadlineMs = 10'000;
// Requests start this long before the end of an idle entry's stop.
constexpr milliseconds kLastRequestsTime{170};
constexpr milliseconds kRequestInterval{25};
// A process that a signal ends is gone earlier.
constexpr milliseconds kSignalEffectTime{500};

void UseLongDeadlines(Cluster& cluster) {
  const auto file = cluster.tool().Sign({2, 0, kLongDeadlineMs});
  const auto outcome = cluster.SubmitUntilKnown(file, cluster.control_list());
  Expect(outcome == "accepted" || outcome == "already_accepted", "version 2: " + outcome);
  cluster.WaitInForce(2);
}

bool Accepts(const std::string& address) {
  const auto colon = address.rfind(':');
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  asio::error_code error;
  socket.connect({asio::ip::make_address(address.substr(0, colon)),
                  static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
                 error);
  return !error;
}

// Stops an idle entry and returns the time from the signal until it refuses connections.
Clock::duration StopAndMeasure(Cluster& cluster, std::size_t entry) {
  const auto signalled = Clock::now();
  cluster.entry(entry).process->Signal(SIGTERM);
  while (Accepts(cluster.entry(entry).http_address)) std::this_thread::sleep_for(milliseconds(5));
  return Clock::now() - signalled;
}

std::vector<Answer> CallUntilRefused(Cluster& cluster, const std::string& address) {
  std::vector<std::future<Answer>> running;
  while (Accepts(address)) {
    CallerRequest request;
    request.address = address;
    request.target = "/s/listings/slow";
    running.push_back(cluster.http().Start(request));
    std::this_thread::sleep_for(kRequestInterval);
  }
  std::vector<Answer> answers;
  answers.reserve(running.size());
  for (auto& answer : running) answers.push_back(answer.get());
  return answers;
}

}  // namespace

// Guards against requests that a stopping entry starts in its last moments and cuts, as callers use
// its address until the process has ended.
Test(entry_stop, entry_that_is_used_until_it_is_gone_cuts_nothing) {
  RunTest([] {
    Cluster cluster;
    UseLongDeadlines(cluster);
    cluster.AddUpstream("payment", "mvd-1", kWorkMs);
    cluster.AddUpstream("listings", "mvd-1", kWorkMs);
    cluster.WaitUntilServed("payment");
    cluster.WaitUntilServed("listings");
    const auto idle_stop = StopAndMeasure(cluster, 1);
    const auto leaving = cluster.entry(0).http_address;
    cluster.entry(0).process->Signal(SIGTERM);
    std::this_thread::sleep_for(idle_stop - kLastRequestsTime);
    int cut = 0;
    int wrong = 0;
    std::string texts;
    const auto answers = CallUntilRefused(cluster, leaving);
    for (const auto& answer : answers) {
      texts += " [" + answer.Text() + (answer.sent ? "" : ", not sent") + "]";
      if (!answer.whole && answer.sent) ++cut;
      const bool is_refusal = answer.status == 503 && answer.verdict == "not_run";
      if (answer.whole && answer.status != 200 && !is_refusal) ++wrong;
    }
    Expect(answers.size() > 1, "too few requests:" + texts);
    Expect(cut == 0 && wrong == 0, std::to_string(cut) + " of " + std::to_string(answers.size()) +
                                       " cut, " + std::to_string(wrong) + " wrong:" + texts);
    const int code = cluster.entry(0).process->Wait();
    Expect(code == 0, "exit code " + std::to_string(code));
  });
}

// Guards against a process that ends at SIGHUP, which a closed terminal or a log rotation sends.
Test(entry_stop, entry_goes_on_after_sighup) {
  RunTest([] {
    Cluster cluster;
    cluster.entry(1).process->Signal(SIGHUP);
    std::this_thread::sleep_for(kSignalEffectTime);
    Expect(Accepts(cluster.entry(1).http_address), "the entry has ended at SIGHUP");
    cluster.entry(1).process->Signal(SIGTERM);
    const int code = cluster.entry(1).process->Wait();
    Expect(code == 0, "exit code " + std::to_string(code) + " after SIGTERM");
  });
}
