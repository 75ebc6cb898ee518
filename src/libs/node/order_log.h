#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/monotonic_time.h"
#include "base/result.h"
#include "consensus/membership.h"
#include "consensus/message.h"
#include "node/membership_planner.h"
#include "node/order_reply.h"
#include "orders/order_state.h"
#include "replica/log_driver.h"

namespace wagtailpick::node {

/// The replicated log of operators' orders, on its own thread. After a failed write or sync and
/// after an exception, it recovers from the disk as soon as the disk can be written again. All
/// public functions may be called from any thread. Hooks and `done` callbacks run on the log's
/// thread, except that a call which finds the log's queue full calls `done` at once with
/// `kUnavailable`.
class OrderLog {
 public:
  struct Options {
    std::string folder;
    /// This replica's cluster address, which is its name in the group.
    std::string self;
    /// Creates a group with this replica as its only member when the folder is empty.
    bool create_group = false;
    storage::FileOpsPtr files = storage::PosixFileOps();
    /// A group with fewer than three voters accepts no orders for this time after the start: more
    /// replicas may still join it.
    base::Duration formation_time = std::chrono::seconds(8);
  };

  struct Hooks {
    /// The committed state has changed.
    std::function<void(const orders::OrderState& state)> changed;
    /// The membership has changed; it may not be committed yet.
    std::function<void(const consensus::Membership& members)> members;
    /// Sends messages to the replica named `to`; they may be lost.
    std::function<void(const std::string& to, const std::vector<consensus::Message>& messages)>
        send;
  };

  /// Recovers from the folder and starts the thread. Fails as `replica::ReplicaDisk::InitGroup`,
  /// except when the group exists already, `replica::ReplicaDisk::Open` and
  /// `replica::LogDriver::Create` do, and with `kCorrupt` if the snapshot can't be read.
  static base::Result<std::unique_ptr<OrderLog>> Start(const Options& options, Hooks hooks);
  ~OrderLog();
  OrderLog(const OrderLog&) = delete;
  OrderLog& operator=(const OrderLog&) = delete;

  /// Handles messages from other replicas. Messages that find the queue full are dropped; their
  /// senders repeat them.
  void Step(std::vector<consensus::Message> messages);
  /// Replaces the list of the other replicas, by which the leader changes the membership.
  void SetPeers(std::vector<PeerReplica> peers);

  /// Commits an order. With `kRedirected`, `redirect` of the reply is the leader's name.
  void Submit(const orders::Order& order, const OrderCallback& done);
  /// Returns the newest committed catalog in `content`, once a quorum has confirmed after the call
  /// that this replica leads. With `kRedirected`, `redirect` is the leader's name.
  void Read(const OrderCallback& done);

  /// Incarnation of the replica's disk.
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct PendingRead {
    base::MonotonicTime received_at;
    OrderCallback done;
  };

  explicit OrderLog(const Options& options, Hooks hooks);
  base::Result<void> Open();
  base::Result<void> OpenDriver();
  /// Replaces a driver that has stopped after a disk error.
  void ReopenWhenDue();
  /// Drops the driver after an exception; it is opened again from the disk.
  void HandleException(const std::string& cause);
  bool Leads() const;
  replica::LogDriver::Hooks DriverHooks();
  void Tick();
  void Apply(std::uint64_t index, const std::string& data);
  /// Replaces the state by a snapshot. Halts the driver if the snapshot can't be read, as this
  /// replica would otherwise go on with another state than its group.
  void Restore(const std::string& snapshot);
  static std::function<void(const base::Result<void>&)> ReplyToProposal(const OrderCallback& done);
  void ProposeCatalog(const std::shared_ptr<const orders::PutCatalog>& put,
                      const OrderCallback& done);
  void ProposeCompleteCatalog(const std::shared_ptr<const orders::PutCatalog>& put,
                              const OrderCallback& done);
  void CompleteReads();
  void UpdateMembership();
  void DetectMembershipChange();
  bool GroupIsFormed() const;
  OrderReply NotLeader() const;

  Options options_;
  Hooks hooks_;
  std::string self_;
  /// Written by the log's thread when it opens the disk again.
  std::atomic<std::uint64_t> incarnation_ = 0;
  base::MonotonicTime started_at_;
  base::EventLoop loop_;
  /// Why the snapshot of the present driver, or of the one that is being created, can't be read.
  std::optional<base::Error> state_failure_;
  /// Null after a disk error or an exception, until the disk is opened again.
  std::unique_ptr<replica::LogDriver> driver_;
  base::MonotonicTime reopen_due_;
  orders::OrderState state_;
  consensus::Membership members_;
  std::vector<PeerReplica> peers_;
  std::vector<PendingRead> reads_;
  base::MonotonicTime membership_due_;
};

}  // namespace wagtailpick::node
