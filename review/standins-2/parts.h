#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {

/// A route of a config.
struct RoutePart {
  std::string name;
  std::string path_prefix;
  std::string kind = "safe";
  /// Service names with their weights; one entry stands for a route without a split.
  std::vector<std::pair<std::string, unsigned long>> targets;
  int timeout_ms = 2'000;
};

/// Returns a complete config for the host `shop.example`, as the operator sends it.
std::string ConfigOf(int version, const std::vector<RoutePart>& routes);

/// A server as the page describes it: it announces itself about every 1.5 s, runs each request that
/// expects it, and answers with the request's id and its own seal.
class ServerPart {
 public:
  ServerPart(Deployment& deployment, Record& record, std::string id, std::string service, int index,
             std::vector<int> controls);
  ~ServerPart();
  ServerPart(const ServerPart&) = delete;
  ServerPart& operator=(const ServerPart&) = delete;

  /// Size of the body of each answer; a short text unless it is set.
  void set_body_bytes(std::size_t bytes) { body_bytes_ = bytes; }
  void set_controls(const std::vector<int>& controls);
  /// How often the request with this id was run here.
  int RunsOf(const std::string& request_id);
  bool listens() const { return listener_ >= 0; }

 private:
  void Accept();
  void Serve(int socket);
  void Announce();
  Message AnswerTo(const Message& request);

  Deployment& deployment_;
  Record& record_;
  std::string id_;
  std::string service_;
  int index_;
  std::vector<int> controls_;
  std::atomic<std::size_t> body_bytes_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::thread announcer_;
  std::thread acceptor_;
};

/// Returns the head of a client's request to the host `shop.example`.
std::string RequestHead(const std::string& method, const std::string& path, const std::string& id,
                        int deadline_ms);

/// Sends a request on a new connection and returns the answer; status 0 if none comes.
Message SendRequest(Deployment& deployment, int entry, const std::string& method,
                    const std::string& path, const std::string& id, int deadline_ms);

/// Starts `controls` control machines and the entries, sends the first config and waits until all
/// entries are ready. Returns false, and records why, when that fails.
bool StartAll(Deployment& deployment, Record& record, int controls, int entries,
              const std::string& config);

/// Sends requests to `path` at the entry until one is answered with 200; false after 10 s.
bool AwaitService(Deployment& deployment, Record& record, int entry, const std::string& path);

/// Whether the case runs with its disruption: TROUBLE is not `0`.
bool WithTrouble();

}  // namespace review
