#include "soak/config_operator.h"

#include <array>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "soak/http_call.h"

namespace wagtailpick::soak {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kOrderTimeout = milliseconds(1'000);
constexpr int kMaxRedirects = 2;
constexpr milliseconds kReadInterval{100};
constexpr std::array kIdleTimeouts{milliseconds(15'000), milliseconds(3'000), milliseconds(1'000)};

}  // namespace

ConfigOperator::ConfigOperator(const Options& options, const Deployment& deployment,
                               PromiseChecker& checker)
    : options_(options), deployment_(deployment), checker_(checker), random_(options.seed + 1) {}

void ConfigOperator::RunUntil(const std::atomic<bool>& stopping,
                              const std::atomic<bool>& faults_are_over) {
  std::uint64_t version = 1;
  while (!stopping) {
    const auto values = faults_are_over ? DrawConfig() : platform::ConfigValues();
    const auto put = platform::PutConfig(platform::TwoRouteConfig(version, "s", values));
    const auto answer = SendOrder(put, random_());
    if (answer && answer->status == 200) checker_.RecordCatalogAcknowledged(version++);
    if (answer && answer->status >= 400 && answer->status < 500) {
      std::cout << "a valid catalog was refused with " << answer->status << "\n";
      valid_config_refused_ = true;
    }
    Read(random_());
    std::this_thread::sleep_for(milliseconds(100 + random_() % 200));
  }
}

bool ConfigOperator::ReadUntil(std::size_t first, base::MonotonicTime end) {
  bool read = Read(first);
  while (!read && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(kReadInterval);
    read = Read(first);
  }
  return read;
}

std::optional<http::Response> ConfigOperator::SendOrder(const http::Request& request,
                                                        std::size_t first) {
  std::string address = deployment_.OrdersAddress(first % options_.replicas);
  for (int i = 0; i <= kMaxRedirects; ++i) {
    auto answer = Call(address, request, kOrderTimeout);
    if (!answer || answer->status != 307) return answer;
    const auto* location = http::FindHeader(answer->headers, "Location");
    if (location == nullptr) return std::nullopt;
    const auto begin = location->find("//") + 2;
    address = location->substr(begin, location->find('/', begin) - begin);
  }
  return std::nullopt;
}

platform::ConfigValues ConfigOperator::DrawConfig() {
  platform::ConfigValues values;
  values.route_timeout = options_.long_deadline + milliseconds(500 * (random_() % 4));
  values.idle_timeout = kIdleTimeouts.at(random_() % kIdleTimeouts.size());
  values.max_header_bytes = random_() % 2 == 0 ? 16'384 : 4'096;
  values.max_body_bytes = random_() % 2 == 0 ? 65'536 : 1'024;
  return values;
}

bool ConfigOperator::Read(std::size_t first) {
  const auto acknowledged = checker_.acknowledged_catalog();
  const auto answer = SendOrder(platform::GetConfig(), first);
  if (!answer || answer->status != 200) {
    last_failed_read_ = answer ? std::to_string(answer->status) + " " + answer->body : "no answer";
    return false;
  }
  const auto version = nlohmann::json::parse(answer->body).at("version").get<std::uint64_t>();
  checker_.RecordCatalogRead(version, acknowledged);
  return true;
}

}  // namespace wagtailpick::soak
