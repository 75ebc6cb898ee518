#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/result.h"
#include "consensus/membership.h"
#include "consensus/message.h"
#include "node/membership_planner.h"
#include "node/order_reply.h"
#include "orders/order_state.h"
#include "replica/log_driver.h"

namespace wagtailpick::node {

/// The replicated log of operators' orders on a thread of its own. After a failed write or sync it
/// starts again from what the disk holds, as soon as the disk takes writes. All public functions
/// may be called from any thread; hooks run on the log's thread.
class OrderLog {
 public:
  struct Options {
    std::string folder;
    /// This replica's address for links, its name in the group.
    std::string self;
    /// Creates the group with this replica alone when the folder is empty.
    bool create_group = false;
    storage::FileOpsPtr files = storage::PosixFileOps();
  };

  struct Hooks {
    std::function<void(const orders::OrderState& state)> changed;
    std::function<void(const consensus::Membership& members)> members;
    std::function<void(const std::string& to, const std::vector<consensus::Message>& messages)>
        send;
  };

  /// Recovers from the folder. Fails as `replica::ReplicaDisk::Open` does.
  static base::Result<std::unique_ptr<OrderLog>> Start(const Options& options, Hooks hooks);
  ~OrderLog();
  OrderLog(const OrderLog&) = delete;
  OrderLog& operator=(const OrderLog&) = delete;

  void Step(std::vector<consensus::Message> messages);
  void SetPeers(std::vector<PeerReplica> peers);

  /// Commits an order. `redirect` of the reply is the leader's name.
  void Submit(const orders::Order& order, const OrderCallback& done);
  /// Gives the newest catalog once a quorum has confirmed after the call that this replica leads.
  void Read(const OrderCallback& done);

  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct PendingRead {
    base::MonotonicTime asked_at;
    OrderCallback done;
  };

  explicit OrderLog(const Options& options, Hooks hooks);
  base::Result<void> Open();
  base::Result<void> OpenDriver();
  /// Replaces a driver that has stopped after a failure of its disk.
  void ReopenWhenDue();
  bool Leads() const;
  replica::LogDriver::Hooks DriverHooks();
  void Tick();
  void Apply(std::uint64_t index, const std::string& data);
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
  std::uint64_t incarnation_ = 0;
  base::MonotonicTime started_at_;
  base::EventLoop loop_;
  /// Null while the disk can't be opened again.
  std::unique_ptr<replica::LogDriver> driver_;
  base::MonotonicTime reopen_due_;
  orders::OrderState state_;
  consensus::Membership members_;
  std::vector<PeerReplica> peers_;
  std::vector<PendingRead> reads_;
  base::MonotonicTime membership_due_;
};

}  // namespace wagtailpick::node
