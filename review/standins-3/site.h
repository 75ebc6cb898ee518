#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

// What the stand-ins of the cases share: a small deployment of the daemon on
// loopback addresses, blocking HTTP calls, and the record of what happened.

namespace wagtailpick::review {

/// Milliseconds of the steady clock, which all processes of a machine share.
std::int64_t NowMs();
/// Milliseconds since the Unix epoch.
std::int64_t UnixMs();
void SleepMs(std::int64_t ms);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpMessage {
  /// The request line or status line.
  std::string start_line;
  Headers headers;
  std::string body;
};

/// Returns the value of a header, or an empty string.
std::string HeaderOf(const HttpMessage& message, const std::string& name);
/// Returns the status of an answer, or 0 if there is none.
int StatusOf(const HttpMessage& answer);

/// Reads one message with a declared length from a blocking socket. `rest`
/// keeps the bytes that were read behind it. Returns nothing at the end of the
/// stream and after an error or timeout.
std::optional<HttpMessage> ReadMessage(int socket, std::string& rest);
bool WriteAll(int socket, const std::string& bytes);

/// Connects to `address` (IP:PORT). Reads and writes fail after `timeout_ms`.
/// Returns -1 on errors.
int Connect(const std::string& address, int timeout_ms);
/// Listens on `address`. Returns -1 on errors.
int Listen(const std::string& address);

/// Sends one request on a new connection and returns the answer; its status is
/// 0 without one.
HttpMessage Call(const std::string& address, const std::string& method, const std::string& target,
                 const Headers& headers, const std::string& body, int timeout_ms);

/// Appends lines to a file that several processes write. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  /// Writes the time in milliseconds and `text` as one line.
  void Write(const std::string& text);

 private:
  int file_;
};

/// A route of the config.
struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  int timeout_ms = 2'000;
  int goal_ms = 300;
};

/// Processes of the daemon with settings as the provider's template yields
/// them: three control replicas and some entries in three zones.
class Deployment {
 public:
  /// Starts nothing yet. `folder` is a temporary folder for settings, disks and
  /// logs.
  Deployment(std::string program, std::string folder, int entries);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts all processes, sends the first config and waits until the entries
  /// are ready. Returns false if this takes too long.
  bool Start(const std::vector<Route>& routes);
  /// Ends all processes. Returns whether all of them were still running.
  bool Stop();

  const std::vector<std::string>& control() const { return control_; }
  const std::vector<std::string>& entries() const { return entries_; }
  /// Address for a server; the addresses differ in the IP.
  std::string ServerAddress(int number) const;
  static std::string ZoneOf(int number);

 private:
  void StartProcess(const std::string& name, const std::string& settings);
  bool PutConfig(const std::vector<Route>& routes);

  std::string program_;
  std::string folder_;
  std::string network_;
  std::map<std::string, int> ports_;
  std::vector<std::string> control_;
  std::vector<std::string> entries_;
  std::vector<std::string> readiness_;
  std::vector<pid_t> processes_;
};

/// Returns the body of a server's heartbeat.
std::string HeartbeatBody(const std::string& address, const std::string& zone, std::int64_t born,
                          std::int64_t sequence, const std::string& state,
                          std::int64_t cold_left_ms);

/// Calls the control replicas in turn, from a random one on, until one answers
/// 2xx within a second. Returns whether one did.
bool CallControl(const std::vector<std::string>& control, const std::string& target,
                 const std::string& body);

/// Starts the program that runs now with other arguments. Returns its process
/// id.
pid_t StartSelf(const std::vector<std::string>& arguments);

std::vector<std::string> Split(const std::string& text, char separator);

}  // namespace wagtailpick::review
