#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>

#include "net/inbound_request.h"
#include "soak/promise_checker.h"
#include "soak/stop_checker.h"

namespace wagtailpick::soak {

/// The slots of one upstream for requests that take long: a few run at once, a few more wait, all
/// others are refused. A request whose connection closes is dropped. Runs on the event loop of its
/// owner and is not thread-safe.
class WorkQueue {
 public:
  WorkQueue(asio::io_context& loop, PromiseChecker& checker, StopChecker& stops,
            std::uint64_t seed);

  /// Takes a request for the upstream `upstream`. It takes twice as long if the upstream is `cold`;
  /// `leaving` states that the upstream leaves.
  void Add(const std::shared_ptr<net::InboundRequest>& inbound, const std::string& upstream,
           bool cold, bool leaving);

 private:
  struct Job {
    explicit Job(asio::io_context& loop) : timer(loop) {}

    std::shared_ptr<net::InboundRequest> inbound;
    std::string request;
    std::string upstream;
    base::Duration length{0};
    base::MonotonicTime deadline;
    bool leaving = false;
    asio::steady_timer timer;
  };

  void StartNext();
  void Run(const std::shared_ptr<Job>& job);
  void Finish(Job& job, bool in_time);
  void Drop(const std::shared_ptr<Job>& job);

  asio::io_context& loop_;
  PromiseChecker& checker_;
  StopChecker& stops_;
  std::mt19937_64 random_;
  std::size_t running_ = 0;
  std::deque<std::shared_ptr<Job>> waiting_;
};

}  // namespace wagtailpick::soak
