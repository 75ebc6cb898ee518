#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::control {

/// Quantity that a share limits.
enum class ShareKind {
  /// Requests of one service per window that are served outside their home region.
  kShiftCap,
  /// Bytes per window over the link between two regions, of all services together.
  kLinkBytes,
};

/// Demand or share of a holder: units per window of one service between two regions.
struct ServiceShare {
  ShareKind kind = ShareKind::kShiftCap;
  std::string service;
  std::string from;
  std::string to;
  std::uint64_t units = 0;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// Key of a pool that is divided: a service's cap between two regions, or a link (`service` is
/// empty).
struct PoolKey {
  ShareKind kind = ShareKind::kShiftCap;
  std::string service;
  std::string from;
  std::string to;

  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
};

/// Units per window that all holders of a pool may use together.
struct PoolLimit {
  PoolKey pool;
  std::uint64_t units = 0;
};

/// Priority of a service, from 1 to 9 (highest).
struct ServicePriority {
  std::string service;
  int priority = 1;
};

/// Limits and priorities of one bundle.
struct ShareLimits {
  std::vector<PoolLimit> pools;
  std::vector<ServicePriority> priorities;
};

}  // namespace wagtailpick::control
