#include "node/lookup.h"

namespace wagtailpick::node {
namespace {

constexpr std::size_t kMinEntries = 2;
constexpr std::size_t kMaxEntries = 64;

}  // namespace

std::vector<std::string> NearestEntries(const std::vector<ReadyEntry>& entries,
                                        const placement::NetworkDistance& from) {
  using placement::Distance;
  std::vector<std::string> found;
  for (const auto limit :
       {Distance::kSameDataCentre, Distance::kSameRegion, Distance::kOtherRegion}) {
    found.clear();
    for (const auto& entry : entries) {
      if (from.DistanceTo(entry.data_centre) <= limit && found.size() < kMaxEntries) {
        found.push_back(entry.address);
      }
    }
    if (found.size() >= kMinEntries) break;
  }
  return found;
}

}  // namespace wagtailpick::node
