#include "node/order_log.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <new>
#include <thread>

#include "consensus/membership.h"
#include "consensus/message.h"
#include "node/state_cache.h"
#include "replica/replica_disk.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using node::OrderLog;
using node::OrderReply;
using node::OrderStatus;

std::string MakeFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
  cr_assert(mkdtemp(path.data()) != nullptr);
  return path;
}

/// File operations that wait for no disk. To open the log and to accept an order takes 12 syncs,
/// each of which can take a second beside other programs. No test here loses what isn't synced.
std::shared_ptr<storage::FileOps> FilesWithoutSync() {
  auto files = std::make_shared<storage::FileOps>(*storage::PosixFileOps());
  files->sync = [](int /*file*/) { return base::Ok(); };
  files->sync_folder = [](const std::string& /*path*/) { return base::Ok(); };
  return files;
}

/// Options of a group of one replica that accepts orders as soon as the replica leads.
OrderLog::Options LoneReplica(const std::string& folder,
                              storage::FileOpsPtr files = FilesWithoutSync()) {
  return {folder, "127.0.0.1:1", true, std::move(files), base::Duration::zero()};
}

OrderLog::Hooks NoOpHooks() {
  return {[](const auto&) {}, [](const auto&) {}, [](const auto&, const auto&) {}};
}

OrderReply Submit(OrderLog& log, const orders::Order& order) {
  std::promise<OrderReply> reply;
  log.Submit(order, [&reply](OrderReply result) { reply.set_value(std::move(result)); });
  return reply.get_future().get();
}

OrderReply Read(OrderLog& log) {
  std::promise<OrderReply> reply;
  log.Read([&reply](OrderReply result) { reply.set_value(std::move(result)); });
  return reply.get_future().get();
}

bool SubmitUntilAccepted(OrderLog& log, std::uint64_t version, std::chrono::seconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    const auto reply = Submit(log, orders::PutCatalog{version, "catalog"});
    if (reply.status == OrderStatus::kAccepted) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

constexpr const char* kSelf = "127.0.0.1:1";
constexpr const char* kOther = "127.0.0.1:2";

/// Stores a snapshot of index 1 in the folder of a group with `kSelf` as its only member.
void StoreSnapshot(const std::string& folder, const std::string& data) {
  cr_assert(replica::ReplicaDisk::InitGroup(folder, kSelf, {kSelf}));
  consensus::SyncBatch batch;
  batch.hard_state = consensus::HardState{1, {}};
  batch.snapshot = consensus::Snapshot{
      1, 1, consensus::Membership({{{kSelf, 1}, consensus::MemberRole::kVoter}}),
      std::make_shared<const std::string>(data)};
  batch.drop_log = true;
  auto disk = replica::ReplicaDisk::Open(folder, kSelf, 1);
  cr_assert(disk && disk.value().Write(batch));
}

consensus::Message MessageFromOther(consensus::MessageKind kind) {
  consensus::Message message;
  message.kind = kind;
  message.from = {kOther, 1};
  message.to = {kSelf, 1};
  message.term = 2;
  return message;
}

/// The only part of a snapshot that `kOther` sends as the leader.
consensus::Message SnapshotFromOther(std::uint64_t index, const std::string& data) {
  auto message = MessageFromOther(consensus::MessageKind::kSnapshot);
  const consensus::Membership members(
      {{{kSelf, 1}, consensus::MemberRole::kVoter}, {{kOther, 1}, consensus::MemberRole::kVoter}});
  message.chunk = {index, 2, members.Encode(), 0, data, true};
  return message;
}

std::string SnapshotOfCatalog(std::uint64_t version) {
  orders::OrderState state;
  state.Apply(1, orders::PutCatalog{version, "catalog"});
  return state.EncodeSnapshot();
}

}  // namespace

// Guards against acknowledging an order that only one disk holds, while the other replicas have not
// joined the group yet: the loss of that disk would lose the order.
Test(order_log, accepts_no_order_before_the_group_has_formed) {
  const std::string folder = MakeFolder();
  auto log = OrderLog::Start({folder, "127.0.0.1:1", true, FilesWithoutSync()}, NoOpHooks());
  cr_assert(log.has_value());
  // Longer than the election of a single replica.
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  while (std::chrono::steady_clock::now() < end) {
    const auto reply = Submit(*log.value(), orders::PutCatalog{1, "one"});
    cr_assert(reply.status == OrderStatus::kUnavailable);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a system of fewer replicas that never accepts an order, and against one that
// accepts orders before the other replicas have had time to join.
Test(order_log, accepts_orders_of_a_lone_replica_after_the_formation_time) {
  const std::string folder = MakeFolder();
  auto options = LoneReplica(folder);
  // Longer than the election of a single replica.
  options.formation_time = std::chrono::seconds(2);
  const auto start = std::chrono::steady_clock::now();
  auto log = OrderLog::Start(options, NoOpHooks());
  cr_assert(log.has_value());
  cr_expect(SubmitUntilAccepted(*log.value(), 1, std::chrono::seconds(15)));
  cr_expect(std::chrono::steady_clock::now() - start > options.formation_time);
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a replica that belongs to no group but answers reads of the catalog.
Test(order_log, refuses_reads_without_a_group) {
  const std::string folder = MakeFolder();
  auto log = OrderLog::Start({folder, "127.0.0.1:1", false}, NoOpHooks());
  cr_assert(log.has_value());
  cr_expect(Read(*log.value()).status == OrderStatus::kUnavailable);
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a replica that stays stopped after its disk was full for a moment.
Test(order_log, recovers_when_its_disk_can_be_written_again) {
  const std::string folder = MakeFolder();
  std::atomic<bool> full = false;
  auto files = FilesWithoutSync();
  files->write = [&full](int file, std::uint64_t offset,
                         std::string_view bytes) -> base::Result<std::size_t> {
    if (full) return base::Fail(base::ErrorCode::kIo, "no space left on device");
    return storage::PosixFileOps()->write(file, offset, bytes);
  };
  auto log = OrderLog::Start(LoneReplica(folder, files), NoOpHooks());
  cr_assert(log.has_value());
  cr_assert(SubmitUntilAccepted(*log.value(), 1, std::chrono::seconds(15)));
  full = true;
  cr_expect(!SubmitUntilAccepted(*log.value(), 2, std::chrono::seconds(3)));
  full = false;
  cr_expect(SubmitUntilAccepted(*log.value(), 3, std::chrono::seconds(10)));
  cr_expect(Read(*log.value()).status == OrderStatus::kAccepted);
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a process that ends because an exception left the work of the log's thread, and
// against a log that goes on with an order that was applied by half.
Test(order_log, recovers_from_an_exception_while_it_applies_an_order) {
  const std::string folder = MakeFolder();
  std::atomic<bool> failing = true;
  std::atomic<std::uint64_t> version = 0;
  auto hooks = NoOpHooks();
  hooks.changed = [&](const orders::OrderState& state) {
    if (failing.exchange(false)) throw std::bad_alloc();
    version = state.catalog_version();
  };
  std::atomic<int> opened = 0;
  auto files = FilesWithoutSync();
  files->lock = [&opened](int file) {
    ++opened;
    return storage::PosixFileOps()->lock(file);
  };
  auto log = OrderLog::Start(LoneReplica(folder, files), hooks);
  cr_assert(log.has_value());
  cr_assert(SubmitUntilAccepted(*log.value(), 1, std::chrono::seconds(15)));
  cr_expect(SubmitUntilAccepted(*log.value(), 2, std::chrono::seconds(15)));
  cr_expect(version == 2);
  cr_expect(opened == 2);
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a process that ends because an exception left a write to the disk.
Test(order_log, recovers_from_an_exception_on_the_disk_thread) {
  const std::string folder = MakeFolder();
  std::atomic<bool> failing = false;
  auto files = FilesWithoutSync();
  files->sync = [&failing](int /*file*/) {
    if (failing) throw std::bad_alloc();
    return base::Ok();
  };
  auto log = OrderLog::Start(LoneReplica(folder, files), NoOpHooks());
  cr_assert(log.has_value());
  cr_assert(SubmitUntilAccepted(*log.value(), 1, std::chrono::seconds(15)));
  failing = true;
  cr_expect(!SubmitUntilAccepted(*log.value(), 2, std::chrono::seconds(3)));
  failing = false;
  cr_expect(SubmitUntilAccepted(*log.value(), 3, std::chrono::seconds(10)));
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a replica that starts without the catalog in its snapshot and answers as if there
// were none.
Test(order_log, does_not_start_from_a_snapshot_that_it_cannot_read) {
  const std::string folder = MakeFolder();
  StoreSnapshot(folder, "no state");
  const auto log = OrderLog::Start({folder, kSelf, true}, NoOpHooks());
  cr_assert(!log.has_value());
  cr_expect(log.error().message.starts_with("the snapshot can't be read: "), "%s",
            log.error().message.c_str());
  std::filesystem::remove_all(folder);
}

// Guards against a replica that can't read the snapshot which its leader sent and goes on with its
// old state as if it had the new one, and against one that stores the snapshot, so that it neither
// takes a later one nor starts again.
Test(order_log, stops_at_a_snapshot_of_the_leader_that_it_cannot_read) {
  const std::string folder = MakeFolder();
  cr_assert(replica::ReplicaDisk::InitGroup(folder, kSelf, {kSelf, kOther}));
  std::atomic<std::uint64_t> version = 0;
  std::atomic<std::uint64_t> acknowledged = 0;
  OrderLog::Hooks hooks = NoOpHooks();
  hooks.changed = [&version](const auto& state) { version = state.catalog_version(); };
  hooks.send = [&acknowledged](const auto& /*to*/, const auto& messages) {
    for (const auto& message : messages) {
      if (message.accepted && message.match > acknowledged) acknowledged = message.match;
    }
  };
  auto log = OrderLog::Start({folder, kSelf, false}, hooks);
  cr_assert(log.has_value());
  const auto heartbeat = MessageFromOther(consensus::MessageKind::kAppend);
  log.value()->Step({heartbeat});
  cr_assert(Read(*log.value()).redirect == kOther);
  log.value()->Step({SnapshotFromOther(5, "no state")});
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Read(*log.value()).redirect.empty() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    log.value()->Step({heartbeat});
  }
  cr_assert(Read(*log.value()).redirect.empty(), "the replica goes on");
  cr_expect(acknowledged == 0);
  end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (version != 1 && std::chrono::steady_clock::now() < end) {
    log.value()->Step({SnapshotFromOther(6, SnapshotOfCatalog(1))});
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_assert(version == 1, "the replica takes no later snapshot");
  log.value().reset();
  version = 0;
  log = OrderLog::Start({folder, kSelf, false}, hooks);
  cr_expect(log.has_value() && version == 1);
  if (log) log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a data race on the incarnation while the log opens a failed disk again.
Test(order_log, tells_its_incarnation_while_it_opens_its_disk_again) {
  const std::string folder = MakeFolder();
  std::atomic<bool> failing = false;
  std::atomic<int> opened = 0;
  auto files = FilesWithoutSync();
  files->sync = [&failing](int /*file*/) -> base::Result<void> {
    if (failing.exchange(false)) return base::Fail(base::ErrorCode::kIo, "input/output error");
    return base::Ok();
  };
  files->lock = [&opened](int file) {
    ++opened;
    return storage::PosixFileOps()->lock(file);
  };
  auto log = OrderLog::Start(LoneReplica(folder, files), NoOpHooks());
  cr_assert(log.has_value());
  const auto incarnation = log.value()->incarnation();
  // The election of the single replica syncs its vote.
  failing = true;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (opened < 2 && std::chrono::steady_clock::now() < end) {
    cr_assert(log.value()->incarnation() == incarnation);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(opened == 2);
  // The log answers a call only after it has opened the disk.
  Read(*log.value());
  cr_expect(log.value()->incarnation() == incarnation);
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against losing an acknowledged catalog: two proposals in flight are patches to the same
// version, and the second one no longer applies once the first is committed.
Test(order_log, applies_catalogs_that_are_submitted_at_the_same_time) {
  const std::string folder = MakeFolder();
  auto log = OrderLog::Start(LoneReplica(folder), NoOpHooks());
  cr_assert(log.has_value());
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (Submit(*log.value(), orders::PutCatalog{1, "one"}).status != OrderStatus::kAccepted) {
    cr_assert(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  std::vector<std::promise<OrderReply>> replies(4);
  for (std::size_t i = 0; i < replies.size(); ++i) {
    log.value()->Submit(
        orders::PutCatalog{i + 2, "catalog " + std::to_string(i + 2)},
        [&reply = replies[i]](OrderReply result) { reply.set_value(std::move(result)); });
  }
  for (auto& reply : replies) cr_expect(reply.get_future().get().status == OrderStatus::kAccepted);
  cr_expect(Read(*log.value()).content == "catalog 5");
  log.value().reset();
  std::filesystem::remove_all(folder);
}

// Guards against a cache file that loads with other contents than were saved, and against a start
// that fails on a damaged one.
Test(state_cache, loads_the_saved_state_and_ignores_a_damaged_file) {
  const std::string folder = MakeFolder();
  const std::string path = folder + "/cache";
  node::CachedState state;
  state.orders.Apply(3, orders::PutCatalog{7, "bytes"});
  state.reports.resize(1);
  state.reports[0].report.id = "i-1";
  state.suspects.resize(1);
  state.suspects[0].renewed_at = 5;
  {
    node::StateCache cache(path);
    cr_expect(!cache.Load().has_value());
    cache.Save(state);
  }
  const auto loaded = node::StateCache(path).Load();
  cr_assert(loaded.has_value());
  cr_expect(loaded->orders.catalog_version() == 7);
  cr_expect(loaded->orders.changed_index() == 3);
  cr_expect(loaded->reports.at(0).report.id == "i-1");
  cr_expect((loaded->suspects == state.suspects));
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 3);
  cr_expect(!node::StateCache(path).Load().has_value());
  std::filesystem::remove_all(folder);
}
