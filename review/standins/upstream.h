#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace wagtailpick::review {

/// A server of a service, as PROTOCOL.md describes it: it announces itself, runs `slots` requests
/// at a time, queues a few more, rejects the others, rejects what is meant for another server,
/// stops work at the time budget and when the connection closes, and closes idle connections.
class Upstream {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    /// Addresses of the nodes that serve `control`.
    std::vector<Address> controls;
    int slots = 3;
    int queue = 9;
    /// Seconds that a request takes.
    double work_s = 0.4;
  };

  /// Replaces the answer to a request that has run. Returns whether the connection stays open.
  using Fault = std::function<bool(Connection& connection, const Message& request)>;
  /// Seconds that a request takes, in place of `Options::work_s`.
  using Work = std::function<double(const Message& request)>;

  Upstream(Options options, Record& record);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// To be set before `Start`. `fault` is asked for each request that has run; it is null or
  /// returns null for a sound answer.
  std::function<Fault(const Message& request)> choose_fault;
  Work work;
  /// Bytes of the body of a sound answer; null or 0 for a short text.
  std::function<std::size_t(const Message& request)> answer_bytes;

  /// Starts to listen and to announce itself. Returns false if the address is taken.
  bool Start();
  void Stop();

  /// Whether a ping was acknowledged.
  bool announced() const { return announced_; }
  const std::string& id() const { return options_.id; }
  /// Requests that have begun to run.
  int runs() const { return runs_; }
  /// Whether the request with this id has begun to run.
  bool HasRun(const std::string& request_id);

 private:
  void AnnounceLoop();
  bool SendPing(const Address& to);
  void AcceptLoop();
  void ServeConnection(int descriptor);
  /// Answers one request. Returns whether the connection stays open.
  bool Serve(Connection& connection, const Message& request);
  bool Run(Connection& connection, const Message& request, double deadline);
  void RecordRun(const std::string& request_id);
  bool TakeSlot(double deadline);
  void ReleaseSlot();
  std::string Load();
  bool Reject(Connection& connection, int status);

  Options options_;
  Record& record_;
  std::int64_t born_ = UnixMillis();
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> announced_ = false;
  std::atomic<int> runs_ = 0;
  std::atomic<int> connections_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t control_ = 0;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::set<std::string> run_ids_;
  std::thread announcer_;
  std::thread acceptor_;
};

}  // namespace wagtailpick::review
