#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "routing/ids.h"

namespace wagtailpick::routing {

/// A data centre that gets no new work. A drained region is represented by a drain of each of its
/// data centres.
struct Drain {
  PlaceId place = 0;
  /// The drained service; all services if empty.
  std::optional<ServiceId> service;
};

/// The drains of a bundle, by data centre and service.
class DrainSet {
 public:
  DrainSet(std::size_t place_count, std::size_t service_count)
      : place_count_(place_count), drained_(place_count * service_count, 0) {}

  /// Adds a drain; one of an unknown data centre or service has no effect.
  void Add(const Drain& drain) {
    if (drain.place >= place_count_) return;
    const std::size_t services = place_count_ == 0 ? 0 : drained_.size() / place_count_;
    for (std::size_t service = 0; service < services; ++service) {
      if (drain.service.value_or(static_cast<ServiceId>(service)) != service) continue;
      drained_[service * place_count_ + drain.place] = 1;
      any_ = true;
    }
  }

  /// Returns whether no data centre is drained.
  bool empty() const { return !any_; }

  /// Returns whether `place` is drained for `service`.
  bool Contains(PlaceId place, ServiceId service) const {
    const std::size_t at = static_cast<std::size_t>(service) * place_count_ + place;
    return at < drained_.size() && drained_[at] != 0;
  }

 private:
  std::size_t place_count_;
  std::vector<std::uint8_t> drained_;
  bool any_ = false;
};

}  // namespace wagtailpick::routing
