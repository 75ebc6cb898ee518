#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "base/event_loop.h"
#include "replica/log_driver.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<const char*, 3> kNames{"a:1", "b:1", "c:1"};

/// A group of three replicas in one process. The duration of a sync is set for each replica's disk.
class Group {
 public:
  Group() {
    std::string path = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
    cr_assert(mkdtemp(path.data()) != nullptr);
    folder_ = path;
    for (std::size_t i = 0; i < kNames.size(); ++i) Open(i);
    for (auto& node : nodes_) {
      node.loop.Start(milliseconds(20), [&node] { node.driver->Tick(); });
    }
  }

  ~Group() {
    for (auto& node : nodes_) node.loop.Stop();
    for (auto& node : nodes_) node.driver.reset();
    std::filesystem::remove_all(folder_);
  }

  void SetSyncTime(std::size_t node, milliseconds time) { nodes_.at(node).sync_time = time; }

  /// Returns the index of the leader, or nothing when there is none after `timeout`.
  std::optional<std::size_t> WaitForLeader(base::Duration timeout) {
    const auto end = base::MonotonicNow() + timeout;
    while (base::MonotonicNow() < end) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (Evaluate(i, [](auto& driver) { return driver.HasLease(); })) return i;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return std::nullopt;
  }

  /// Evaluates `predicate` for the driver of `node` on that driver's thread.
  template <typename Predicate>
  bool Evaluate(std::size_t node, Predicate predicate) {
    std::promise<bool> result;
    nodes_.at(node).loop.Post(
        [&] { result.set_value(static_cast<bool>(predicate(*nodes_.at(node).driver))); });
    return result.get_future().get();
  }

  /// Returns whether a proposal at `node` was accepted within `timeout`.
  bool Propose(std::size_t node, base::Duration timeout) {
    auto accepted = std::make_shared<std::promise<bool>>();
    auto outcome = accepted->get_future();
    nodes_.at(node).loop.Post([this, node, accepted] {
      nodes_.at(node).driver->Propose("data", [accepted](const base::Result<void>& result) {
        accepted->set_value(result.has_value());
      });
    });
    return outcome.wait_for(timeout) == std::future_status::ready && outcome.get();
  }

 private:
  struct Node {
    std::atomic<milliseconds> sync_time{milliseconds(0)};
    base::EventLoop loop{4'096};
    std::unique_ptr<replica::LogDriver> driver;
  };

  void Open(std::size_t index) {
    auto& node = nodes_.at(index);
    const std::string folder = folder_ + "/" + std::to_string(index);
    const std::vector<std::string> members(kNames.begin(), kNames.end());
    cr_assert(replica::ReplicaDisk::InitGroup(folder, kNames.at(index), members).has_value());
    auto files = std::make_shared<storage::FileOps>(*storage::PosixFileOps());
    files->sync = [&node](int) -> base::Result<void> {
      std::this_thread::sleep_for(node.sync_time.load());
      return base::Ok();
    };
    auto disk = replica::ReplicaDisk::Open(folder, kNames.at(index), 1, files);
    cr_assert(disk.has_value());
    replica::LogDriver::Hooks hooks;
    hooks.apply = [](std::uint64_t, const std::string&) {};
    hooks.restore = [](const std::string&) {};
    hooks.snapshot = [] { return std::string(); };
    hooks.members = [](const consensus::Membership&) {};
    hooks.defer = [&node](std::function<void()> task) {
      return node.loop.TryPost(std::move(task));
    };
    hooks.send = [this](const std::string& to, const std::vector<consensus::Message>& messages) {
      const auto found = std::find(kNames.begin(), kNames.end(), to);
      auto& target = nodes_.at(static_cast<std::size_t>(found - kNames.begin()));
      target.loop.TryPost([&target, messages] { target.driver->Step(messages); });
    };
    auto driver = replica::LogDriver::Create(kNames.at(index), replica::LogDriver::DefaultOptions(),
                                             std::move(disk.value()), std::move(hooks));
    cr_assert(driver.has_value());
    node.driver = std::move(driver.value());
  }

  std::string folder_;
  std::array<Node, 3> nodes_;
};

}  // namespace

// Guards against a group that has no leader and answers no reads while a sync takes longer than the
// election timeout. Seen with soak seeds 3005, 3013 and 3015 on a busy disk.
Test(slow_disk, elects_a_leader_and_keeps_it) {
  Group group;
  for (std::size_t i = 0; i < kNames.size(); ++i) group.SetSyncTime(i, milliseconds(1'200));
  const auto leader = group.WaitForLeader(seconds(20));
  cr_assert(leader.has_value());
  cr_expect(group.Propose(*leader, seconds(5)));
  for (int i = 0; i < 30; ++i) {
    cr_expect(group.Evaluate(*leader, [](auto& driver) { return driver.HasLease(); }));
    std::this_thread::sleep_for(milliseconds(100));
  }
}

// Guards against proposals that wait for the leader's stalled disk although the other replicas
// could commit them.
Test(slow_disk, replaces_a_leader_whose_disk_has_stalled) {
  Group group;
  const auto leader = group.WaitForLeader(seconds(10));
  cr_assert(leader.has_value());
  group.SetSyncTime(*leader, seconds(6));
  const auto stalled_at = base::MonotonicNow();
  cr_expect(!group.Propose(*leader, milliseconds(500)));
  std::optional<std::size_t> next;
  while (!next && base::MonotonicNow() - stalled_at < seconds(5)) {
    for (std::size_t i = 0; i < kNames.size(); ++i) {
      if (i != *leader && group.Evaluate(i, [](auto& driver) { return driver.HasLease(); })) {
        next = i;
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  cr_assert(next.has_value());
  cr_expect(group.Propose(*next, seconds(1)));
}
