#include "slot_checker.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_control.h"
#include "fake_entry.h"
#include "fake_upstream.h"

namespace wagtailpick::admission {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kUpstreams = 3;
constexpr std::array<std::int64_t, 4> kDeadlinesMs{300, 1'000, 2'000, 10'000};

class SlotChecker {
 public:
  SlotChecker(std::uint64_t seed, Fault fault) : schedule_(seed, fault), control_(schedule_) {
    schedule_.deadline_ms = kDeadlinesMs[seed % kDeadlinesMs.size()];
    std::vector<FakeUpstream*> upstreams;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const std::string address = "127.0.0.1:" + std::to_string(9000 + i);
      control_.AddUpstream(address);
      upstreams_.push_back(std::make_unique<FakeUpstream>(schedule_, address));
      upstreams.push_back(upstreams_.back().get());
    }
    control_.on_grant = [this](const OwnershipGrant& grant) {
      for (const auto& entry : entries_) entry->OnGrant(grant);
    };
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<FakeEntry>(schedule_, control_, upstreams));
    }
  }

  CheckResult Run() {
    for (const auto& entry_ptr : entries_) {
      FakeEntry* const entry = entry_ptr.get();
      Every(250 * kMs, [entry] { entry->Renew(); });
      Every(20 * kMs, [entry] { entry->SendRequests(); });
      Every(100 * kMs, [entry] { entry->Tick(); });
      Every(4'000 * kMs, [entry] { entry->InjectFault(); });
    }
    for (const auto& upstream_ptr : upstreams_) {
      FakeUpstream* const upstream = upstream_ptr.get();
      Every(500 * kMs, [this, upstream] { Announce(*upstream); });
      Every(2'000 * kMs, [upstream] { upstream->ChangeState(); });
    }
    Every(20 * kMs, [this] { control_.Tick(); });
    Every(7'000 * kMs, [this] { control_.ChangeLeader(); });
    const SimTime length = (15'000 + 2 * schedule_.deadline_ms) * kMs;
    schedule_.result.events = schedule_.queue.RunUntil(length);
    return schedule_.result;
  }

 private:
  /// Runs `run` once per interval, the first time at a random point of the first interval.
  void Every(SimTime interval, const std::function<void()>& run) {
    Repeat(schedule_.Between(0, interval), interval, run);
  }

  void Repeat(SimTime at, SimTime interval, const std::function<void()>& run) {
    schedule_.queue.Post(at, [this, at, interval, run] {
      run();
      Repeat(at + interval, interval, run);
    });
  }

  /// Delivers an announcement; it can be lost, duplicated, delayed and overtaken by later ones.
  void Announce(FakeUpstream& upstream) {
    const auto announcement = upstream.Announce();
    if (!announcement) return;
    const int copies = schedule_.Chance(20) ? 0 : (schedule_.Chance(10) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      const SimTime delay = schedule_.Chance(5) ? schedule_.Between(100 * kMs, 5'000 * kMs)
                                                : schedule_.Between(kMs / 5, 20 * kMs);
      schedule_.queue.Post(schedule_.queue.now() + delay,
                           [this, announcement] { Deliver(*announcement); });
    }
  }

  void Deliver(const membership::Announcement& announcement) {
    const std::uint64_t owner = control_.OwnerEpoch(announcement.address());
    for (const auto& entry : entries_) {
      if (entry->epoch() == owner) entry->OnAnnouncement(announcement);
    }
  }

  Schedule schedule_;
  FakeControl control_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<FakeEntry>> entries_;
};

}  // namespace

CheckResult CheckSlots(std::uint64_t seed, Fault fault) { return SlotChecker(seed, fault).Run(); }

}  // namespace wagtailpick::admission
