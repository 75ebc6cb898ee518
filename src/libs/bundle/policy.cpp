#include "bundle/policy.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::bundle {
namespace {

constexpr std::array<base::EnumName<Policy>, 2> kPolicyNames{{
    {Policy::kLatency, "latency"},
    {Policy::kHeadroom, "headroom"},
}};

}  // namespace

std::string_view ToString(Policy policy) { return base::NameOf(kPolicyNames, policy); }

std::optional<Policy> ParsePolicy(std::string_view name) {
  return base::ValueOf(kPolicyNames, name);
}

}  // namespace wagtailpick::bundle
