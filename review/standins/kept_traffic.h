#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "callers.h"
#include "deployment.h"
#include "record.h"

namespace wagtailpick::review {

/// Clients that send one request after the other to each entry, each on a kept connection.
class KeptTraffic {
 public:
  struct Options {
    int clients_of_entry = 48;
    /// Seconds between an answer and the next request.
    double pause_s = 0.7;
    /// Routes of the clients, in turn.
    std::vector<RouteOptions> routes;
  };
  /// How the requests ended.
  struct Result {
    std::size_t sent = 0;
    std::size_t served = 0;
    /// From kept connections, passed on to a sound server, and ended without an answer.
    std::size_t cut = 0;
  };

  KeptTraffic(Options options, Deployment& deployment, Record& record);

  void Start();
  void Stop();
  /// `ran_on_sound_server` tells whether a sound server has begun to run a request.
  Result Judge(const std::function<bool(const std::string& id)>& ran_on_sound_server);

 private:
  void SendRequests(std::size_t entry, int client);

  Options options_;
  Deployment& deployment_;
  Record& record_;
  std::atomic<bool> stop_ = false;
  std::vector<std::thread> clients_;
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
};

}  // namespace wagtailpick::review
