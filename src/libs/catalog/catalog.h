#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/route.h"
#include "catalog/service.h"

namespace wagtailpick::catalog {

/// One version of all routes, services and limits.
class Catalog {
 public:
  Catalog() = default;
  Catalog(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services,
          const Limits& limits);

  std::uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<std::string, Service, std::less<>>& services() const { return services_; }
  const Limits& limits() const { return limits_; }

  /// Returns the route of `host` with the longest prefix that begins `path`, or null. A port in
  /// `host` and a query in `path` don't count.
  const Route* Match(std::string_view host, std::string_view path) const;

  /// Returns the service, or null.
  const Service* FindService(std::string_view name) const;

 private:
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, Service, std::less<>> services_;
  Limits limits_;
  /// Positions in `routes_` for each host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

}  // namespace wagtailpick::catalog
