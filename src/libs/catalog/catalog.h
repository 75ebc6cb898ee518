#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/route.h"
#include "catalog/service.h"

namespace wagtailpick::catalog {

/// One version of all routes, services and limits. Immutable once constructed.
class Catalog {
 public:
  Catalog() = default;
  /// Does not check its arguments; see `Validate`.
  Catalog(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services,
          const Limits& limits);

  std::uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<std::string, Service, std::less<>>& services() const { return services_; }
  const Limits& limits() const { return limits_; }

  /// Returns the route of `host` with the longest prefix of `path`, or null if there is none. The
  /// case of `host`, a port in it and a query in `path` are ignored. The route lives as long as the
  /// catalog.
  const Route* Match(std::string_view host, std::string_view path) const;

  /// Returns the service, or null if it is unknown.
  const Service* FindService(std::string_view name) const;

 private:
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, Service, std::less<>> services_;
  Limits limits_;
  /// Indexes into `routes_` by lower-case host without port, longest path prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

}  // namespace wagtailpick::catalog
