#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "http/message.h"

namespace wagtailpick::stops {

using std::chrono::milliseconds;

/// One kind of request of the site: how callers send it and how long its work takes.
struct Traffic {
  const char* name;
  const char* method;
  const char* path_prefix;
  const char* service;
  bool idempotent;
  /// Relative frequency.
  double weight;
  milliseconds objective;
  milliseconds deadline;
  milliseconds route_timeout;
  milliseconds mean_work;
};

/// The traffic that the incident's site file describes: listings, payments and photos.
inline constexpr std::array<Traffic, 3> kTraffic{{
    {"listing", "GET", "/listing/", "web", true, 5.3, milliseconds(400), milliseconds(3'000),
     milliseconds(3'000), milliseconds(640)},
    {"payment", "POST", "/payment/", "web", false, 2.1, milliseconds(600), milliseconds(4'000),
     milliseconds(4'000), milliseconds(840)},
    {"photo", "GET", "/photo/", "photos", true, 2.5, milliseconds(1'000), milliseconds(8'000),
     milliseconds(2'000), milliseconds(1'600)},
}};

/// Returns the config of `kTraffic` as JSON.
std::string SiteConfig(std::uint64_t version);

/// Returns a caller's question for the addresses of entries.
http::Request DirectoryQuestion(const std::string& region, const std::string& data_centre);

/// Answer of the directory.
struct DirectoryAnswer {
  std::vector<std::string> addresses;
  milliseconds lifetime{};
};

/// Parses the answer to `DirectoryQuestion`. The addresses are empty if it cannot be read.
DirectoryAnswer ParseDirectoryAnswer(const std::string& body);

/// Whether a server is asked for its health.
bool IsHealthCheck(const http::Request& request);
http::Response HealthAnswer(const std::string& server, milliseconds cold_left);

/// Returns a server's refusal of a request that it did not run.
http::Response NotRunAnswer(const std::string& request_id, int status);

/// Sets the load that an answer of a server names.
void SetLoad(http::Response& response, std::size_t running, std::size_t waiting, std::size_t slots);

}  // namespace wagtailpick::stops
