#include "chooser_world.h"

namespace wagtailpick::placement_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kFirstPort = 1'000;

std::map<std::string, std::string> Regions() { return {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}; }

}  // namespace

World::World()
    : chooser(placement::NetworkDistance("a1", Regions()), placement::ColdRateLimiter("e1", {})) {
  chooser.SetEntries({"e1"});
  catalog::Route route;
  route.name = "r";
  route.objective = milliseconds(300);
  route.timeout = seconds(2);
  route.targets = {{"s", 1}};
  catalog::Service service;
  service.name = "s";
  catalog = catalog::Catalog(1, {route}, {service}, {});
  Announce("near1", "a1");
  Announce("near2", "a2");
  Announce("far", "b1");
}

void World::Announce(const std::string& id, const std::string& data_centre, base::Duration cold,
                     upstreams::State state, const base::MonotonicTime& now,
                     std::int64_t started_unix_ms) {
  const auto port = ports.emplace(id, kFirstPort + ports.size()).first->second;
  upstreams::UpstreamReport report;
  report.id = id;
  report.started_unix_ms = started_unix_ms;
  report.sequence = ++sequence;
  report.service = "s";
  report.address = "10.0.0.1:" + std::to_string(port);
  report.data_centre = data_centre;
  report.slots = 2;
  report.cold_left = cold;
  report.state = state;
  table.Apply(report, {}, now);
}

placement::Choice World::Choose(const placement::PlacementRequest& request,
                                base::MonotonicTime now) {
  return chooser.Choose(request, {&table, &catalog, &evacuated, nullptr, &limits}, now);
}

placement::PlacementRequest World::MakeRequest() const {
  placement::PlacementRequest request;
  request.route = &catalog.routes().front();
  request.service = "s";
  request.time_left = seconds(2);
  return request;
}

}  // namespace wagtailpick::placement_test
