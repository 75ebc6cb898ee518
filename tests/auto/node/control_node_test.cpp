#include "node/control_node.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/acceptor.h"
#include "cluster/dialer.h"
#include "node/upstream_sync.h"
#include "testing/loopback_address.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using wagtailpick::testing::LoopbackAddress;

/// The last bytes of the addresses of the node and of its peer.
constexpr int kOwnNode = 10;
constexpr int kPeerNode = 11;
constexpr std::uint16_t kOrdersPort = 17'831;
constexpr std::uint16_t kClusterPort = 17'832;
constexpr milliseconds kTick{50};
/// Links are dialled again every 300 ms.
constexpr seconds kTimeout{5};

std::string MakeFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
  cr_assert(mkdtemp(path.data()) != nullptr);
  return path;
}

upstreams::UpstreamReport Report(std::uint64_t sequence) {
  upstreams::UpstreamReport report;
  report.id = "i-1";
  report.started_unix_ms = 1'000;
  report.sequence = sequence;
  report.service = "menu";
  report.address = "10.128.0.1:9080";
  report.data_centre = "dc-0";
  report.slots = 3;
  return report;
}

/// A replica, and a stand-in for another one which speaks the protocol of their links. The two
/// links of the pair open and close independently.
class ReplicaPair {
 public:
  ReplicaPair() : folder_(MakeFolder()) {
    node::ControlOptions options;
    options.node.vm = "replica-0";
    options.node.data_centre = "dc-0";
    options.node.regions = {{"dc-0", "east"}, {"dc-1", "west"}};
    options.node.ip = LoopbackAddress(kOwnNode);
    options.node.cluster_port = kClusterPort;
    options.node.seeds = {{LoopbackAddress(kOwnNode), kOrdersPort},
                          {LoopbackAddress(kPeerNode), kOrdersPort}};
    options.orders = {LoopbackAddress(kOwnNode), kOrdersPort};
    options.directory = options.orders;
    options.data_folder = folder_;
    auto started = node::ControlNode::Start(loop_, options, {});
    cr_assert(started.has_value());
    replica = std::move(started.value());
  }

  ~ReplicaPair() {
    CloseInbound();
    dialers_.clear();
    outbound_.reset();
    replica.reset();
    std::filesystem::remove_all(folder_);
  }
  ReplicaPair(const ReplicaPair&) = delete;
  ReplicaPair& operator=(const ReplicaPair&) = delete;

  /// Opens the stand-in's link to the replica.
  bool OpenOutbound() {
    cluster::Dialer::Hooks hooks;
    hooks.hello = [] {
      return cluster::Hello{cluster::NodeRole::kReplica,
                            "replica-1",
                            "dc-1",
                            base::ToString(PeerEndpoint()),
                            base::ToString({LoopbackAddress(kPeerNode), kOrdersPort}),
                            7};
    };
    hooks.ping = [] { return cluster::Ping{}; };
    hooks.up = [] {};
    hooks.down = [](const std::string& /*reason*/) {};
    hooks.message = [this](const cluster::Message& message) {
      const auto* reports = std::get_if<cluster::Reports>(&message);
      if (reports != nullptr) replica_knows_run_ = !reports->reports.empty();
    };
    outbound_ = Dial(std::move(hooks));
    return RunUntil([this] { return outbound_->up(); });
  }

  /// Accepts the replica's link to the stand-in and waits until it is open.
  bool OpenInbound() {
    cluster::Acceptor::Hooks hooks;
    hooks.opened = [this](const cluster::Session& session) {
      acceptor_->Send(session.id, cluster::Replicas{});
    };
    hooks.closed = [](const cluster::Session& /*session*/, const std::string& /*reason*/) {};
    hooks.message = [this](const cluster::Session& session, const cluster::Message& message) {
      HandleMessage(session, message);
    };
    hooks.pinged = [this](const cluster::Session& /*session*/) { ++pings_; };
    hooks.ready_changed = [](const cluster::Session& /*session*/) {};
    hooks.followed = [](const cluster::Session& /*session*/) {};
    auto acceptor = cluster::Acceptor::Start(loop_, PeerEndpoint(), std::move(hooks));
    cr_assert(acceptor.has_value());
    acceptor_ = std::move(acceptor.value());
    pings_ = 0;
    return RunUntil([this] { return pings_ > 1; });
  }

  /// Opens a link to the replica, which lasts as long as the pair.
  std::shared_ptr<cluster::Dialer> Dial(cluster::Dialer::Hooks hooks) {
    dialers_.push_back(std::make_shared<cluster::Dialer>(
        loop_, base::Endpoint{LoopbackAddress(kOwnNode), kClusterPort}, std::move(hooks)));
    return dialers_.back();
  }

  /// Sends the replica a heartbeat of the announced run, as a replica that knows it does.
  void SendHeartbeat(std::uint64_t sequence) {
    outbound_->Send(cluster::Heartbeats{{{Report(1).id, Report(1).started_unix_ms, sequence}}});
  }

  /// Whether the replica gets to know an upstream while heartbeats of it arrive.
  bool ReplicaLearnsRun() {
    std::uint64_t sequence = 1;
    return RunUntil([this, &sequence] {
      SendHeartbeat(++sequence);
      outbound_->Send(cluster::ReportsRequest{});
      return replica_knows_run_;
    });
  }

  void CloseInbound() { acceptor_.reset(); }

  /// Runs the loop until `condition` holds; returns false after `kTimeout`.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = base::MonotonicNow() + kTimeout;
    while (!condition()) {
      const auto now = base::MonotonicNow();
      if (now >= end) return false;
      for (const auto& dialer : dialers_) dialer->Tick(now);
      loop_.restart();
      loop_.run_for(kTick);
    }
    return true;
  }

  void Announce(const upstreams::UpstreamReport& report) {
    replica->HandleAnnouncement(report, [](bool /*done*/) {});
  }

  /// Whether the stand-in gets to know the announced run.
  bool LearnsRun() {
    return RunUntil([this] { return table.RunOf(Report(1).id) == Report(1).started_unix_ms; });
  }

  std::unique_ptr<node::ControlNode> replica;
  /// The stand-in's upstreams.
  upstreams::UpstreamTable table;
  /// Requests for reports that the stand-in received.
  int requests = 0;

 private:
  static base::Endpoint PeerEndpoint() { return {LoopbackAddress(kPeerNode), kClusterPort}; }

  void HandleMessage(const cluster::Session& session, const cluster::Message& message) {
    const auto now = base::MonotonicNow();
    if (const auto* request = std::get_if<cluster::ReportsRequest>(&message)) {
      ++requests;
      acceptor_->Send(session.id, node::MakeReportsAnswer(table, *request, now));
    }
    if (const auto* reports = std::get_if<cluster::Reports>(&message)) {
      for (const auto& aged : reports->reports) table.Apply(aged.report, aged.age, now);
    }
  }

  std::string folder_;
  asio::io_context loop_{1};
  std::vector<std::shared_ptr<cluster::Dialer>> dialers_;
  std::shared_ptr<cluster::Dialer> outbound_;
  std::unique_ptr<cluster::Acceptor> acceptor_;
  int pings_ = 0;
  bool replica_knows_run_ = false;
};

/// A stand-in for an entry that follows the replica of a pair.
class EntryLink {
 public:
  EntryLink(ReplicaPair& pair, const std::string& vm) {
    cluster::Dialer::Hooks hooks;
    hooks.hello = [vm] {
      return cluster::Hello{cluster::NodeRole::kEntry, vm, "dc-0", "", "127.0.0.1:1", 0};
    };
    hooks.ping = [] { return cluster::Ping{true, true, 0, 0}; };
    hooks.up = [] {};
    hooks.down = [](const std::string& /*reason*/) {};
    hooks.message = [this](const cluster::Message& message) {
      const auto* names = std::get_if<cluster::EntryNames>(&message);
      if (names != nullptr && names->complete && !list) list = names->added;
    };
    dialer_ = pair.Dial(std::move(hooks));
  }

  bool up() const { return dialer_->up(); }

  /// The first list of entries that arrived.
  std::optional<std::vector<std::string>> list;

 private:
  std::shared_ptr<cluster::Dialer> dialer_;
};

}  // namespace

// Guards against an upstream that a replica never learns of because the upstream announced itself
// to another replica between the openings of the two links between them.
Test(control_node, sends_a_new_link_the_reports_that_its_receiver_lacks) {
  ReplicaPair pair;
  cr_assert(pair.OpenOutbound());
  pair.Announce(Report(1));
  cr_assert(pair.OpenInbound());
  cr_expect(pair.LearnsRun());
  cr_expect(pair.requests == 1, "%d requests", pair.requests);
}

// Guards against the same loss when only one of the two links is lost for a while.
Test(control_node, sends_a_reopened_link_the_reports_that_its_receiver_lacks) {
  ReplicaPair pair;
  cr_assert(pair.OpenOutbound());
  cr_assert(pair.OpenInbound());
  pair.CloseInbound();
  pair.Announce(Report(1));
  cr_assert(pair.OpenInbound());
  cr_expect(pair.LearnsRun());
}

// Guards against an upstream that a replica never learns of because the replica that received its
// announcement has ended: the others know it and send heartbeats only.
Test(control_node, requests_the_report_of_an_unknown_run) {
  ReplicaPair pair;
  cr_assert(pair.OpenOutbound());
  cr_assert(pair.OpenInbound());
  pair.table.Apply(Report(1), {}, base::MonotonicNow());
  cr_expect(pair.ReplicaLearnsRun());
}

// Guards against a link that is filled with requests: heartbeats of a run that the other replica
// does not send a report of arrive every 150 ms.
Test(control_node, has_one_request_at_a_time_on_a_link) {
  ReplicaPair pair;
  cr_assert(pair.OpenOutbound());
  cr_assert(pair.OpenInbound());
  const auto end = base::MonotonicNow() + seconds(3);
  std::uint64_t sequence = 2;
  pair.RunUntil([&] {
    pair.SendHeartbeat(++sequence);
    return base::MonotonicNow() >= end;
  });
  cr_expect(pair.requests >= 2 && pair.requests <= 3, "%d requests in 3 s", pair.requests);
}

// Guards against an entry that divides limits among too few entries because the replica that it
// follows has just started and the other entries have not connected to it yet.
Test(control_node, sends_the_list_of_entries_once_they_have_connected) {
  ReplicaPair pair;
  const EntryLink first(pair, "entry-1");
  cr_assert(pair.RunUntil([&first] { return first.up(); }));
  pair.RunUntil(
      [end = base::MonotonicNow() + milliseconds(300)] { return base::MonotonicNow() >= end; });
  const EntryLink second(pair, "entry-2");
  cr_assert(pair.RunUntil([&first] { return first.list.has_value(); }));
  cr_expect(first.list->size() == 2, "%zu entries in the first list", first.list->size());
}

// Guards against an entry that is alone and gets no list.
Test(control_node, sends_the_list_to_a_single_entry) {
  ReplicaPair pair;
  const EntryLink entry(pair, "entry-1");
  cr_assert(pair.RunUntil([&entry] { return entry.list.has_value(); }));
  cr_expect(entry.list->size() == 1);
}
