#include "entry/lookup_api.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "entry/error_answer.h"
#include "entry/query.h"
#include "http/json_answer.h"
#include "routing/client_address.h"
#include "routing/lookup_ranker.h"

namespace wagtailpick::entry {
namespace {

using nlohmann::json;

/// Returns the entries for the caller at `address`, in order of preference.
std::vector<const Member*> Rank(const View& view, const Member& self, const std::string& address) {
  const auto& directory = *view.directory;
  std::vector<routing::EntryStatus> entries;
  std::map<routing::EntryId, const Member*> members;
  for (const auto& member : view.members) {
    const auto place = directory.PlaceOf(member.data_centre);
    if (!place) continue;
    entries.push_back({member.id(), *place, !member.draining});
    members[member.id()] = &member;
  }
  routing::LookupRanker ranker(directory.topology());
  ranker.SetEntries(entries);
  const auto block = directory.FindHome(address);
  const auto home = block ? block->place : directory.PlaceOf(self.data_centre).value_or(0);
  std::vector<const Member*> ranked;
  for (const auto id : ranker.Rank(home, block ? block->block_key : 0)) {
    ranked.push_back(members.at(id));
  }
  return ranked;
}

json ToJson(const Member& member) {
  return {{"vm", member.vm}, {"address", member.http_address}, {"place", member.data_centre}};
}

/// Returns the HTTP address of one serving entry of each region.
json Seeds(const View& view) {
  json seeds = json::array();
  std::set<std::string> regions;
  for (const auto& member : view.members) {
    if (member.draining) continue;
    if (regions.insert(member.region).second) seeds.push_back(member.http_address);
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
  if (self == nullptr || view->directory == nullptr) {
    return Unavailable("this entry has no session with control yet");
  }
  if (view->bundle.FindService(service->second) == nullptr) {
    return NotFound("no service is called '" + service->second + "'");
  }
  const auto address_parameter = query.find("address");
  const std::string& address =
      address_parameter == query.end() ? request.peer : address_parameter->second;
  if (!routing::ParseClientAddress(address)) return BadRequest("address: expected an IP address");
  json entries = json::array();
  for (const auto* member : Rank(*view, *self, address)) entries.push_back(ToJson(*member));
  const auto lifetime = view->bundle.answer_lifetime_ms;
  const json body{{"service", service->second},
                  {"entries", entries},
                  {"seeds", Seeds(*view)},
                  {"lifetime_ms", lifetime},
                  {"bundle_version", view->bundle.version}};
  auto answer = http::JsonAnswer(200, body);
  answer.headers.push_back({"Cache-Control", "max-age=" + std::to_string(lifetime / 1'000)});
  return answer;
}

}  // namespace wagtailpick::entry
