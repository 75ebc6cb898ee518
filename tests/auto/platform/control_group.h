#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "harness/work_folder.h"
#include "http/message.h"
#include "node/control_node.h"
#include "platform/control_api.h"

namespace wagtailpick::platform_test {

/// Three control replicas with the provider's API in this process, each on a loop and an address of
/// its own. An exception that leaves a loop ends the process, as no role loop catches it here.
class ControlGroup {
 public:
  ControlGroup();
  ~ControlGroup();
  ControlGroup(const ControlGroup&) = delete;
  ControlGroup& operator=(const ControlGroup&) = delete;

  std::size_t size() const { return nodes_.size(); }
  /// Address of a replica.
  const std::string& ip(std::size_t node) const { return nodes_[node]->ip; }
  /// Starts the drain of a replica, as SIGTERM does.
  void Drain(std::size_t node);
  /// Whether the drain of a replica has ended; its process would exit then.
  bool drained(std::size_t node) const { return nodes_[node]->drained; }
  /// Sends a request to the API of a replica. Returns nothing if no answer comes within a second.
  std::optional<http::Response> Call(std::size_t node, const http::Request& request) const;
  /// Sends a request to the replicas in turn until one answers with status 200, for 20 s at most.
  bool CallUntilAccepted(const http::Request& request) const;
  /// Sends raw bytes to a port of a replica and reads for a moment.
  void SendRaw(std::size_t node, std::uint16_t port, const std::string& bytes) const;
  /// Value of a metric of a replica; nothing if it is not served.
  std::optional<double> Metric(std::size_t node, const std::string& name) const;

  /// Settings of an entry that is connected to the group, at an address of its own.
  node::NodeOptions EntryNodeOptions() const;

  static std::uint16_t orders_port();
  static std::uint16_t cluster_port();

 private:
  struct Node {
    std::string ip;
    asio::io_context loop;
    std::unique_ptr<platform::ControlApi> api;
    std::unique_ptr<node::ControlNode> control;
    std::atomic<bool> drained = false;
    std::thread thread;
  };

  void Start(Node& node, std::size_t number);

  processes::WorkFolder folder_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace wagtailpick::platform_test
