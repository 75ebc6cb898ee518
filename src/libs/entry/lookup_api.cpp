#include "entry/lookup_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "entry/error_answer.h"
#include "entry/query.h"

namespace wagtailpick::entry {
namespace {

using nlohmann::json;

/// More entries in one answer would only spread callers thinner over entries further away.
constexpr std::size_t kMaxEntries = 3;

/// Orders entries by distance: own data centre, own region, elsewhere. Draining ones are left out.
std::vector<const Member*> Rank(const View& view, const Member& self) {
  std::vector<const Member*> ranked;
  for (const auto& member : view.members) {
    if (!member.draining) ranked.push_back(&member);
  }
  const auto distance = [&](const Member* member) {
    if (member->data_centre == self.data_centre) return 0;
    return member->region == self.region ? 1 : 2;
  };
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const Member* a, const Member* b) { return distance(a) < distance(b); });
  return ranked;
}

json ToJson(const Member& member) {
  return {{"vm", member.vm}, {"address", member.http_address}, {"place", member.data_centre}};
}

json Seeds(const std::vector<const Member*>& ranked) {
  json seeds = json::array();
  std::set<std::string> regions;
  for (const auto* member : ranked) {
    if (regions.insert(member->region).second) seeds.push_back(member->http_address);
  }
  return seeds;
}

}  // namespace

LookupApi::LookupApi(std::string vm, const Session& session)
    : vm_(std::move(vm)), session_(session) {}

http::Response LookupApi::Answer(const http::Request& request) const {
  const auto query = ParseQuery(request.target);
  const auto service = query.find("service");
  if (service == query.end() || service->second.empty()) {
    return BadRequest("the query needs service=NAME");
  }
  const ViewPtr view = session_.view();
  const Member* self = view == nullptr ? nullptr : view->FindMember(vm_);
  if (self == nullptr) return Unavailable("this entry has no session with control yet");
  if (view->bundle.FindService(service->second) == nullptr) {
    return NotFound("no service is called '" + service->second + "'");
  }
  const auto ranked = Rank(*view, *self);
  json entries = json::array();
  for (std::size_t i = 0; i < std::min(kMaxEntries, ranked.size()); ++i) {
    entries.push_back(ToJson(*ranked[i]));
  }
  const auto lifetime = view->bundle.answer_lifetime_ms;
  const json body{{"service", service->second},
                  {"entries", entries},
                  {"seeds", Seeds(ranked)},
                  {"lifetime_ms", lifetime},
                  {"bundle_version", view->bundle.version}};
  return {200,
          {{"Content-Type", "application/json"},
           {"Cache-Control", "max-age=" + std::to_string(lifetime / 1'000)}},
          body.dump()};
}

}  // namespace wagtailpick::entry
