#include "bundle/bundle.h"

#include <algorithm>

namespace wagtailpick::bundle {

const Service* Bundle::FindService(const std::string& name) const {
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

const Link* Bundle::FindLink(const std::string& from, const std::string& to) const {
  const auto found = std::find_if(links.begin(), links.end(), [&](const Link& link) {
    return link.from == from && link.to == to;
  });
  return found == links.end() ? nullptr : &*found;
}

std::string Bundle::RegionOf(const std::string& place) const {
  for (const auto& region : regions) {
    const auto& centres = region.data_centres;
    if (region.name == place) return region.name;
    if (std::find(centres.begin(), centres.end(), place) != centres.end()) return region.name;
  }
  return {};
}

bool Bundle::IsDrained(const std::string& service, const std::string& data_centre) const {
  const std::string region = RegionOf(data_centre);
  return std::any_of(drains.begin(), drains.end(), [&](const Drain& drain) {
    const bool covers_place = drain.place == data_centre || drain.place == region;
    return covers_place && (drain.service.empty() || drain.service == service);
  });
}

}  // namespace wagtailpick::bundle
