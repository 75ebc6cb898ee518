#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::control {

/// What a share counts.
enum class ShareKind {
  /// Requests of one service per window that are served outside their home region.
  kShiftCap,
  /// Bytes per window over the link between two regions, of all services together.
  kLinkBytes,
};

/// What a holder asks for or gets: units per window of one service between two regions.
struct ServiceShare {
  ShareKind kind = ShareKind::kShiftCap;
  std::string service;
  std::string from;
  std::string to;
  std::uint64_t units = 0;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

/// What is divided: a service's cap between two regions, or a link (`service` is empty).
struct PoolKey {
  ShareKind kind = ShareKind::kShiftCap;
  std::string service;
  std::string from;
  std::string to;

  friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
};

/// Units per window that a pool's holders may use together.
struct PoolLimit {
  PoolKey pool;
  std::uint64_t units = 0;
};

/// Priority of a service, 9 the highest.
struct ServicePriority {
  std::string service;
  int priority = 1;
};

/// The limits of one bundle.
struct ShareLimits {
  std::vector<PoolLimit> pools;
  std::vector<ServicePriority> priorities;
};

}  // namespace wagtailpick::control
