#include "controller/share_limits.h"

namespace wagtailpick::controller {

control::ShareLimits LimitsOf(const bundle::Bundle& bundle) {
  control::ShareLimits limits;
  for (const auto& cap : bundle.shift_caps) {
    limits.pools.push_back({{control::ShareKind::kShiftCap, cap.service, cap.from, cap.to},
                            static_cast<std::uint64_t>(cap.requests_per_s)});
  }
  for (const auto& link : bundle.links) {
    limits.pools.push_back({{control::ShareKind::kLinkBytes, "", link.from, link.to},
                            static_cast<std::uint64_t>(link.ShareBytesPerSecond())});
  }
  for (const auto& service : bundle.services) {
    limits.priorities.push_back({service.name, static_cast<int>(service.priority)});
  }
  return limits;
}

}  // namespace wagtailpick::controller
