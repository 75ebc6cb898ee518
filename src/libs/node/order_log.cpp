#include "node/order_log.h"

#include <algorithm>
#include <utility>

#include "base/monotonic_time.h"
#include "logging/log.h"
#include "orders/order_codec.h"
#include "replica/replica_disk.h"

namespace wagtailpick::node {
namespace {

using logging::Level;

constexpr std::size_t kMaxQueuedTasks = 8'192;
constexpr base::Duration kTick = std::chrono::milliseconds(20);
constexpr base::Duration kMembershipInterval = std::chrono::milliseconds(100);
/// Time between two attempts to reopen a failed disk.
constexpr base::Duration kReopenInterval = std::chrono::seconds(1);
constexpr base::Duration kHeartbeatInterval = std::chrono::milliseconds(150);
/// Shorter than the 1 s after which callers retry at another replica.
constexpr base::Duration kReadTimeout = std::chrono::milliseconds(900);
/// Orders are refused while the group has fewer voters, so that an acknowledged order survives the
/// loss of a disk while the group is forming.
constexpr std::size_t kMinVotersToServe = 3;

base::Error UnreadableSnapshot(const base::Error& error) {
  return {error.code, "the snapshot can't be read: " + error.message};
}

}  // namespace

base::Result<std::unique_ptr<OrderLog>> OrderLog::Start(const Options& options, Hooks hooks) {
  std::unique_ptr<OrderLog> log(new OrderLog(options, std::move(hooks)));
  BOOST_OUTCOME_TRY(log->Open());
  log->loop_.set_on_failure(
      [raw = log.get()](const std::string& cause) { raw->HandleException(cause); });
  log->loop_.Start(kTick, [raw = log.get()] { raw->Tick(); });
  return log;
}

OrderLog::OrderLog(const Options& options, Hooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      self_(options.self),
      started_at_(base::MonotonicNow()),
      loop_(kMaxQueuedTasks) {}

OrderLog::~OrderLog() { loop_.Stop(); }

base::Result<void> OrderLog::Open() {
  if (options_.create_group) {
    const auto created = replica::ReplicaDisk::InitGroup(options_.folder, self_, {self_});
    // `kConflict`: the folder holds a group already, as this is not its first start.
    if (!created && created.error().code != base::ErrorCode::kConflict) return created.error();
  }
  return OpenDriver();
}

base::Result<void> OrderLog::OpenDriver() {
  const auto new_incarnation = static_cast<std::uint64_t>(base::WallNowMillis());
  BOOST_OUTCOME_TRY(
      disk, replica::ReplicaDisk::Open(options_.folder, self_, new_incarnation, options_.files));
  incarnation_ = disk.incarnation();
  auto driver_options = replica::LogDriver::DefaultOptions();
  driver_options.heartbeat_interval = kHeartbeatInterval;
  driver_options.check_snapshot = [](const std::string& snapshot) -> base::Result<void> {
    const auto state = orders::OrderState::DecodeSnapshot(snapshot);
    if (!state) return UnreadableSnapshot(state.error());
    return base::Ok();
  };
  state_failure_.reset();
  BOOST_OUTCOME_TRY(driver, replica::LogDriver::Create(self_, std::move(driver_options),
                                                       std::move(disk), DriverHooks()));
  if (state_failure_) return *state_failure_;
  driver_ = std::move(driver);
  return base::Ok();
}

replica::LogDriver::Hooks OrderLog::DriverHooks() {
  replica::LogDriver::Hooks hooks;
  hooks.apply = [this](std::uint64_t index, const std::string& data) { Apply(index, data); };
  hooks.restore = [this](const std::string& snapshot) { Restore(snapshot); };
  hooks.snapshot = [this] { return state_.EncodeSnapshot(); };
  hooks.members = [](const consensus::Membership&) {};
  hooks.send = [this](const std::string& to, const std::vector<consensus::Message>& messages) {
    hooks_.send(to, messages);
  };
  hooks.defer = [this](std::function<void()> task) { return loop_.TryPost(std::move(task)); };
  return hooks;
}

void OrderLog::Apply(std::uint64_t index, const std::string& data) {
  const auto order = orders::DecodeOrder(data);
  if (!order) return logging::Write(Level::kError, "record_unreadable", order.error().message);
  if (!state_.Apply(index, order.value())) return;
  logging::Write(Level::kInfo, "order_applied", "an operator's order is committed",
                 {{"index", std::to_string(index)},
                  {"catalog_version", std::to_string(state_.catalog_version())},
                  {"evacuated", std::to_string(state_.evacuated().size())}});
  hooks_.changed(state_);
}

void OrderLog::Restore(const std::string& snapshot) {
  auto state = orders::OrderState::DecodeSnapshot(snapshot);
  if (!state) {
    state_failure_ = UnreadableSnapshot(state.error());
    logging::Write(Level::kError, "snapshot_unreadable", state_failure_->message);
    // `OpenDriver` returns the error of the snapshot on this disk.
    if (driver_) driver_->Halt(*state_failure_);
    return;
  }
  state_ = std::move(state.value());
  hooks_.changed(state_);
}

void OrderLog::Step(std::vector<consensus::Message> messages) {
  // Messages are dropped when the queue is full; their senders repeat them.
  loop_.TryPost([this, messages = std::move(messages)] {
    if (driver_) driver_->Step(messages);
  });
}

void OrderLog::SetPeers(std::vector<PeerReplica> peers) {
  loop_.TryPost([this, peers = std::move(peers)]() mutable {
    std::vector<std::string> names;
    names.reserve(peers.size());
    for (const auto& peer : peers) names.push_back(peer.name);
    if (driver_) driver_->AddPeers(names);
    peers_ = std::move(peers);
  });
}

bool OrderLog::GroupIsFormed() const {
  const auto voters = driver_->replica().membership().voter_count();
  return voters >= kMinVotersToServe ||
         base::MonotonicNow() - started_at_ > options_.formation_time;
}

bool OrderLog::Leads() const {
  return driver_ && driver_->replica().role() == consensus::Role::kLeader;
}

OrderReply OrderLog::NotLeader() const {
  const std::string leader = driver_ ? driver_->leader() : std::string();
  if (leader.empty() || leader == self_) {
    return {OrderStatus::kUnavailable, {}, "no leader is known", {}};
  }
  return {OrderStatus::kRedirected, leader, {}, {}};
}

void OrderLog::Submit(const orders::Order& order, const OrderCallback& done) {
  const bool queued = loop_.TryPost([this, order, done] {
    if (!Leads()) return done(NotLeader());
    if (!GroupIsFormed()) {
      return done({OrderStatus::kUnavailable, {}, "the group is still forming", {}});
    }
    if (const auto* put = std::get_if<orders::PutCatalog>(&order)) {
      return ProposeCatalog(std::make_shared<const orders::PutCatalog>(*put), done);
    }
    driver_->Propose(orders::EncodeOrder(order), ReplyToProposal(done));
  });
  if (!queued) done({OrderStatus::kUnavailable, {}, "this replica is overloaded", {}});
}

std::function<void(const base::Result<void>&)> OrderLog::ReplyToProposal(
    const OrderCallback& done) {
  return [done](const base::Result<void>& proposed) {
    if (proposed) return done({OrderStatus::kAccepted, {}, {}, {}});
    done({OrderStatus::kUnavailable, {}, proposed.error().message, {}});
  };
}

// Proposes a catalog as a patch to the newest committed one. When another catalog is committed
// before the patch, the patch does not apply, and the complete catalog is proposed instead.
void OrderLog::ProposeCatalog(const std::shared_ptr<const orders::PutCatalog>& put,
                              const OrderCallback& done) {
  driver_->Propose(orders::EncodeOrder(state_.MakePatch(*put)),
                   [this, put, done](const base::Result<void>& proposed) {
                     const bool applied = state_.catalog_version() >= put->version;
                     if (!proposed || applied) return ReplyToProposal(done)(proposed);
                     ProposeCompleteCatalog(put, done);
                   });
}

void OrderLog::ProposeCompleteCatalog(const std::shared_ptr<const orders::PutCatalog>& put,
                                      const OrderCallback& done) {
  // Posted, as the driver is still applying committed entries and cannot accept a proposal now.
  const bool queued = loop_.TryPost([this, put, done] {
    if (!Leads()) return done(NotLeader());
    driver_->Propose(orders::EncodeOrder(orders::OrderState::MakeCompletePatch(*put)),
                     ReplyToProposal(done));
  });
  if (!queued) done({OrderStatus::kUnavailable, {}, "this replica is overloaded", {}});
}

void OrderLog::Read(const OrderCallback& done) {
  const auto received_at = base::MonotonicNow();
  const bool queued = loop_.TryPost([this, received_at, done] {
    reads_.push_back({received_at, done});
    CompleteReads();
  });
  if (!queued) done({OrderStatus::kUnavailable, {}, "this replica is overloaded", {}});
}

void OrderLog::CompleteReads() {
  if (reads_.empty()) return;
  const auto now = base::MonotonicNow();
  const bool leads = Leads();
  std::vector<PendingRead> waiting;
  for (auto& read : std::exchange(reads_, {})) {
    if (!leads) {
      read.done(NotLeader());
    } else if (driver_->LedSince(read.received_at) && state_.catalog_bytes() != nullptr) {
      read.done({OrderStatus::kAccepted, {}, {}, *state_.catalog_bytes()});
    } else if (now - read.received_at > kReadTimeout) {
      read.done({OrderStatus::kUnavailable, {}, "no quorum has confirmed in time", {}});
    } else {
      waiting.push_back(std::move(read));
    }
  }
  reads_ = std::move(waiting);
}

void OrderLog::Tick() {
  ReopenWhenDue();
  if (driver_) driver_->Tick();
  CompleteReads();
  if (!driver_) return;
  DetectMembershipChange();
  UpdateMembership();
}

void OrderLog::ReopenWhenDue() {
  if (driver_ && !driver_->replica().fault()) return;
  const auto now = base::MonotonicNow();
  if (now < reopen_due_) return;
  reopen_due_ = now + kReopenInterval;
  if (driver_) {
    logging::Write(Level::kError, "log_stopped", driver_->replica().fault()->message);
    // The driver holds the lock of the folder until it is destroyed.
    driver_.reset();
  }
  // The new driver delivers the snapshot and all entries of the disk again.
  state_ = {};
  const auto opened = OpenDriver();
  if (!opened) return logging::Write(Level::kWarning, "log_not_reopened", opened.error().message);
  logging::Write(Level::kInfo, "log_reopened", options_.folder);
}

// The state in memory may be changed by half. The one on disk is not: it changes by whole batches,
// and nothing is acknowledged before its batch is synced.
void OrderLog::HandleException(const std::string& cause) {
  logging::Write(Level::kError, "log_failed", cause);
  if (driver_) driver_->FailPending();
  driver_.reset();
  reopen_due_ = base::MonotonicNow() + kReopenInterval;
}

void OrderLog::DetectMembershipChange() {
  const auto& members = driver_->replica().membership();
  if (members == members_) return;
  members_ = members;
  logging::Write(Level::kInfo, "group_changed", members.Encode(),
                 {{"voters", std::to_string(members.voter_count())}});
  hooks_.members(members_);
}

void OrderLog::UpdateMembership() {
  const auto now = base::MonotonicNow();
  if (now < membership_due_) return;
  membership_due_ = now + kMembershipInterval;
  if (!Leads()) return;
  const auto change = NextMembershipChange(driver_->replica().membership(), self_, peers_);
  // A change that fails, such as while an earlier one is uncommitted, is retried at the next call.
  if (change) static_cast<void>(driver_->ProposeChange(*change));
}

}  // namespace wagtailpick::node
