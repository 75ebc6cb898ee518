#include "catalog/catalog.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::catalog {
namespace {

/// Returns the host in lower case and without its port.
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return normalized;
}

}  // namespace

Catalog::Catalog(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services,
                 const Limits& limits)
    : version_(version), routes_(std::move(routes)), limits_(limits) {
  for (auto& service : services) {
    const std::string name = service.name;
    services_[name] = std::move(service);
  }
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_host_[NormalizeHost(routes_[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
      return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
    });
  }
}

const Route* Catalog::Match(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes_[index].path_prefix)) return &routes_[index];
  }
  return nullptr;
}

const Service* Catalog::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace wagtailpick::catalog
