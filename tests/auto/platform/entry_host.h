#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "control_group.h"
#include "net/http_listener.h"
#include "node/entry_node.h"

namespace wagtailpick::platform_test {

/// An entry with the provider's headers in this process, connected to a control group.
class EntryHost {
 public:
  EntryHost(const ControlGroup& group, base::Duration grace);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  /// Waits until the entry has a catalog; returns false after 20 s.
  bool WaitUntilReady();
  /// Starts the drain, as SIGTERM does.
  void Drain();
  /// Starts the drain when the loop has been blocked for `blocked_for`, as a signal does that came
  /// to a busy process. Waits until the loop is blocked.
  void DrainAfterBlockedLoop(base::Duration blocked_for);
  /// Whether the drain has ended; the process would exit then.
  bool drained() const { return drained_; }
  /// Number of addresses, of the callers' and the readiness one, that accept a connection.
  int accepting_addresses() const;
  /// Sends a client's request. Returns nothing if it gets no complete answer within `timeout`.
  std::optional<http::Response> Call(const http::Request& request, base::Duration timeout) const;

 private:
  node::EntryOptions options_;
  asio::io_context loop_;
  std::unique_ptr<node::EntryNode> entry_;
  std::atomic<bool> drained_ = false;
  std::thread thread_;
};

/// A server that announces itself to a control group and answers each request after the time that
/// `work` returns for it.
class WorkingServer {
 public:
  using Work = std::function<base::Duration(const http::Request&)>;

  WorkingServer(const ControlGroup& group, std::string service, Work work);
  ~WorkingServer();
  WorkingServer(const WorkingServer&) = delete;
  WorkingServer& operator=(const WorkingServer&) = delete;

  /// Whether the request with this id has begun to run.
  bool HasRun(const std::string& request_id);

 private:
  void Announce(const ControlGroup& group);

  upstreams::UpstreamReport report_;
  Work work_;
  std::mutex mutex_;
  std::set<std::string> runs_;
  asio::io_context loop_;
  std::unique_ptr<net::HttpListener> listener_;
  std::atomic<bool> running_ = true;
  std::thread serving_;
  std::thread announcing_;
};

}  // namespace wagtailpick::platform_test
