#include <criterion/criterion.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "relay_fixture.h"

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::relay_test::FakeUpstream;
using wagtailpick::relay_test::RawAnswer;
using wagtailpick::relay_test::RelayHost;
using wagtailpick::relay_test::Request;
using wagtailpick::relay_test::StatusOf;
using wagtailpick::relay_test::Whole;

constexpr Duration kWait = std::chrono::seconds(3);
/// The timeout of the test route.
constexpr Duration kRouteTimeout = milliseconds(1'200);
constexpr std::size_t kMemoryBudget = 4'000'000;

Duration TimeOf(const std::function<void()>& action) {
  const auto start = wagtailpick::base::MonotonicNow();
  action();
  return wagtailpick::base::MonotonicNow() - start;
}

constexpr std::size_t kCallers = 6;
constexpr const char* kSoundId = "sound";

std::string SoundBody() { return std::string(300'000, 'b') + "END"; }

/// Upstreams that send an answer without an end: the first bytes of a body, and then nothing, on an
/// open connection. The request with the id `kSoundId` gets a sound answer.
class EndlessUpstreams {
 public:
  EndlessUpstreams(std::size_t count, std::size_t sent_bytes) : part_(sent_bytes, 'x') {
    for (std::size_t i = 0; i < count; ++i) {
      upstreams_.push_back(std::make_unique<FakeUpstream>(
          [this](const std::string& head, int /*number*/) { return Answer(head); }));
    }
  }

  std::vector<std::string> addresses() const {
    std::vector<std::string> addresses;
    for (const auto& upstream : upstreams_) addresses.push_back(upstream->address());
    return addresses;
  }

 private:
  RawAnswer Answer(const std::string& head) const {
    const bool is_sound = head.find(std::string("Id: ") + kSoundId) != std::string::npos;
    if (is_sound) return {Whole(kSoundId, SoundBody()), false};
    return {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + part_, false};
  }

  std::string part_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
};

}  // namespace

// Guards against an answer without an end that is collected although it can't be passed on. The
// caller waited until its time was up, and the bytes took the memory of the entry.
Test(relay_memory, ends_an_answer_at_its_head_if_it_is_not_passed_on) {
  const std::vector<std::string> heads{
      "HTTP/1.1 200 OK\r\nId: other\r\n\r\nendless",
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 60000000\r\n\r\nendless",
      "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\nendless",
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\nendless",
  };
  for (const auto& head : heads) {
    // The connection stays open: more bytes may come.
    FakeUpstream upstream([&head](const std::string&, int) { return RawAnswer{head, false}; });
    RelayHost host({upstream.address()}, false);
    int status = 0;
    const auto time = TimeOf([&] { status = StatusOf(host.Exchange(Request("1"), kWait)); });
    cr_expect(status == 502 || status == 503, "%s", head.c_str());
    cr_expect(time < kRouteTimeout / 2, "%s", head.c_str());
    cr_expect(host.memory_held() == 0);
  }
}

// Guards against answers without an end that take the memory of the process: two entries were
// killed for it every 20 s.
Test(relay_memory, bounds_all_open_answers_together) {
  const EndlessUpstreams upstreams(kCallers, 8'000'000);
  RelayHost host(upstreams.addresses(), false, kMemoryBudget);
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(
        [&] { failed += StatusOf(host.Exchange(Request("1"), kWait)) == 502 ? 1 : 0; });
  }
  for (auto& caller : callers) caller.join();
  cr_expect(failed == kCallers);
  // The budget keeps the peak itself, as a thread that samples it may get no turn while the answers
  // are open.
  const std::size_t peak = host.memory_peak();
  cr_expect(peak > wagtailpick::base::kSmallMessageBytes && peak <= kMemoryBudget, "%zu", peak);
  cr_expect(host.memory_held() == 0);
}

// Guards against a sound answer that fails because endless ones hold the memory.
Test(relay_memory, serves_a_large_answer_beside_endless_ones) {
  const EndlessUpstreams upstreams(kCallers + 1, 1'000'000);
  RelayHost host(upstreams.addresses(), false, kMemoryBudget);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] { static_cast<void>(host.Exchange(Request("1"), kWait)); });
  }
  const auto end = wagtailpick::base::MonotonicNow() + kWait;
  while (host.memory_held() < 1'000'000 && wagtailpick::base::MonotonicNow() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  cr_expect(host.memory_peak() >= 1'000'000);
  const auto answer = host.Exchange(Request(kSoundId), kWait);
  cr_expect(StatusOf(answer) == 200);
  cr_expect(answer.ends_with(SoundBody()));
  for (auto& caller : callers) caller.join();
}

// Guards against an answer that is lost for lack of memory and counted as a fault of its upstream
// or as not run.
Test(relay_memory, answers_502_when_there_is_no_memory_for_an_answer) {
  FakeUpstream upstream([](const std::string&, int) {
    return RawAnswer{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3000000\r\n\r\nstart", false};
  });
  RelayHost host({upstream.address()}, true, kMemoryBudget);
  int status = 0;
  const auto time = TimeOf([&] { status = StatusOf(host.Exchange(Request("1"), kWait)); });
  cr_expect(status == 502);
  cr_expect(time < kRouteTimeout / 2);
  cr_expect(upstream.requests() == 1);
  cr_expect(host.memory_held() == 0);
}

// Guards against 502 for a request that an upstream refused, as there was no memory for the
// refusal's body.
Test(relay_memory, takes_a_refusal_without_memory_for_its_body) {
  FakeUpstream upstream([](const std::string&, int) {
    return RawAnswer{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 3000000\r\n\r\nstart",
                     false};
  });
  RelayHost host({upstream.address()}, false, kMemoryBudget);
  cr_expect(StatusOf(host.Exchange(Request("1"), kWait)) == 503);
  cr_expect(host.memory_held() == 0);
}
