#include "catalog/validate_catalog.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailpick::catalog {
namespace {

constexpr base::Duration kMaxTimeout = std::chrono::minutes(10);

base::Result<void> Invalid(const Route& route, const std::string& problem) {
  return base::Fail(base::ErrorCode::kInvalidArgument, "route " + route.name + ": " + problem);
}

base::Result<void> ValidateTargets(const Catalog& catalog, const Route& route) {
  if (route.targets.empty()) return Invalid(route, "no service");
  std::uint64_t weight = 0;
  for (const auto& target : route.targets) {
    if (catalog.FindService(target.service) == nullptr) {
      return Invalid(route, "unknown service " + target.service);
    }
    weight += target.weight;
  }
  if (weight == 0) return Invalid(route, "no service has a weight");
  return base::Ok();
}

base::Result<void> ValidateRoute(const Catalog& catalog, const Route& route) {
  if (route.host.empty()) return Invalid(route, "no host");
  if (!route.path_prefix.starts_with('/')) return Invalid(route, "the prefix has to begin with /");
  if (route.timeout <= base::Duration::zero()) return Invalid(route, "no timeout");
  if (route.timeout > kMaxTimeout) return Invalid(route, "the timeout is over ten minutes");
  if (route.attempts == 0) return Invalid(route, "no attempt is allowed");
  return ValidateTargets(catalog, route);
}

}  // namespace

base::Result<void> Validate(const Catalog& catalog) {
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const auto& route : catalog.routes()) {
    BOOST_OUTCOME_TRY(ValidateRoute(catalog, route));
    if (!host_prefixes.emplace(route.host, route.path_prefix).second) {
      return Invalid(route, "another route has its host and prefix");
    }
  }
  return base::Ok();
}

}  // namespace wagtailpick::catalog
