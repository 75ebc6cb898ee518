#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/child.h"
#include "harness/http_caller.h"
#include "harness/operator_tool.h"
#include "harness/work_folder.h"

namespace wagtailpick::processes {

/// One daemon of the cluster.
struct Node {
  std::string vm;
  std::string config;
  std::string rpc_address;
  std::string admin_address;
  /// Address for callers; empty for a control replica.
  std::string http_address;
  /// Relative to the work folder; empty for an entry.
  std::string data_folder;
  std::unique_ptr<Child> process;
};

/// One upstream stand-in.
struct Upstream {
  std::string address;
  std::string service;
  std::string place;
  /// Duration of each request, in milliseconds.
  unsigned work_ms = 5;
  std::unique_ptr<Child> process;
};

/// Three control replicas and three entries, one of each in the regions mvd, pde and col (index 0,
/// 1, 2), and the upstreams that a test adds, as separate processes on loopback.
class Cluster {
 public:
  /// Starts the daemons and waits until bundle 1 is in force at every entry.
  Cluster();

  Node& control(std::size_t index) { return control_.at(index); }
  Node& entry(std::size_t index) { return entries_.at(index); }
  /// Address of an entry for callers.
  const std::string& entry_address(std::size_t index) const {
    return entries_.at(index).http_address;
  }
  std::vector<Upstream>& upstreams() { return upstreams_; }
  OperatorTool& tool() { return tool_; }
  const HttpCaller& http() const { return http_; }
  const WorkFolder& folder() const { return folder_; }

  /// RPC addresses of all control replicas, separated by commas.
  std::string control_list() const;

  /// Starts or restarts a daemon and waits until it serves its metrics.
  void Start(Node& node);

  /// Adds and starts an upstream with three slots; `work_ms` is the duration of each request in
  /// milliseconds.
  Upstream& AddUpstream(const std::string& service, const std::string& place, unsigned work_ms = 5);
  /// Starts or restarts an upstream and waits until it serves its counts.
  void Start(Upstream& upstream);

  /// Waits until every entry answers a GET request for `service` with status 200.
  void WaitUntilServed(const std::string& service);

  /// Waits until the control replicas in `control` (RPC addresses separated by commas) report a
  /// leader and returns its index.
  std::size_t WaitForLeader(const std::string& control);
  std::size_t WaitForLeader() { return WaitForLeader(control_list()); }

  /// RPC addresses of all control replicas but one, separated by commas.
  std::string ControlWithout(std::size_t index) const;

  /// Throws unless each entry has put bundles in force in the order of their versions and all
  /// entries have the same digest for each version.
  void CheckNoRevert() const;

  /// Submits a bundle, repeatedly while the outcome is `unavailable` or missing, and returns the
  /// outcome.
  std::string SubmitUntilKnown(const std::string& signed_file, const std::string& control);

  /// Waits until every entry has put `version` in force.
  void WaitInForce(std::uint64_t version);

  /// Timeline events of a daemon since its start; an empty array if it does not answer.
  nlohmann::json Events(const Node& node) const;

  /// Number of events of one kind whose detail contains `detail`.
  std::size_t CountEvents(const Node& node, const std::string& kind,
                          const std::string& detail = {}) const;

  /// Metrics of a daemon as text; empty if it does not answer.
  std::string Metrics(const Node& node) const;

  /// Counts of an upstream stand-in (`/stats`); throws if it does not answer.
  nlohmann::json Stats(const Upstream& upstream) const;

  /// Number of runs of an idempotency key, summed over all upstreams.
  unsigned RunsOf(const std::string& key) const;

 private:
  Node MakeNode(const std::string& role, std::size_t index);

  WorkFolder folder_;
  HttpCaller http_;
  OperatorTool tool_;
  std::vector<Node> control_;
  std::vector<Node> entries_;
  std::vector<Upstream> upstreams_;
};

}  // namespace wagtailpick::processes
