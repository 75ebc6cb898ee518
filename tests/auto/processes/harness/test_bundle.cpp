#include "harness/test_bundle.h"

#include <array>
#include <nlohmann/json.hpp>

namespace wagtailpick::processes {
namespace {

constexpr std::array<const char*, 3> kRegions{"mvd", "pde", "col"};
constexpr int kCapPerSecond = 50;

nlohmann::json Service(const std::string& name, int priority, unsigned deadline_ms) {
  return {
      {"name", name},   {"priority", priority},           {"request_deadline_ms", deadline_ms},
      {"max_slots", 3}, {"expected_answer_bytes", 2'000}, {"idempotent_methods", {"GET", "HEAD"}}};
}

}  // namespace

std::string TestBundle(const BundleOptions& options) {
  nlohmann::json bundle{
      {"deployment", "manta-alta"},
      {"version", options.version},
      {"policy", "latency"},
      {"answer_lifetime_ms", 500 + options.variant},
      {"shift_headroom_percent", 20},
      {"client_blocks", {{{"block", "127.0.0.0/8"}, {"place", "mvd-1"}}}},
      {"services",
       {Service("listings", 3, options.deadline_ms), Service("payment", 7, options.deadline_ms)}},
      {"drains", nlohmann::json::array()}};
  for (const std::string region : kRegions) {
    bundle["regions"].push_back(
        {{"name", region}, {"data_centres", {region + "-1", region + "-2"}}});
    for (const std::string other : kRegions) {
      if (region == other) continue;
      bundle["links"].push_back({{"from", region},
                                 {"to", other},
                                 {"one_way_ms", 20},
                                 {"capacity_mbit_s", 4'000},
                                 {"share_percent", 25}});
      for (const char* service : {"listings", "payment"}) {
        bundle["shift_caps"].push_back({{"service", service},
                                        {"from", region},
                                        {"to", other},
                                        {"requests_per_s", kCapPerSecond}});
      }
    }
  }
  return bundle.dump();
}

}  // namespace wagtailpick::processes
