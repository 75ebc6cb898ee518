#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "admission/share_window.h"
#include "base/monotonic_time.h"
#include "bundle/bundle.h"
#include "shift/shift_controller.h"
#include "timeline/event_ring.h"

namespace wagtailpick::entry {

/// This entry's shares of shift caps and of links between regions. Used on the dispatcher's loop.
class ShareSet {
 public:
  ShareSet(std::string own_region, timeline::EventRing& events);

  /// Takes over the caps and links of a bundle; shares of others are given up.
  void SetBundle(const bundle::Bundle& bundle);

  /// Adds what this entry asks for to a renewal.
  void AddDemands(rpc::RenewRequest& request) const;

  /// Takes in the shares of a renewal that was sent at `sent`.
  void ApplyGrants(const rpc::RenewReply& reply, base::MonotonicTime sent);

  /// Takes one request of a shift cap.
  bool TryAdmitShift(const std::string& service, const std::string& from, const std::string& to,
                     base::MonotonicTime now);
  /// Gives back what `TryAdmitShift` took at `admitted_at`, for a request that was not sent.
  void ReturnShift(const std::string& service, const std::string& from, const std::string& to,
                   base::MonotonicTime admitted_at);

  /// Reserves bytes on the links between two regions, in both directions.
  bool TryReserveLink(const std::string& from, const std::string& to, std::uint64_t bytes,
                      base::MonotonicTime now);
  /// Charges what an answer had beyond its reservation.
  void ChargeLink(const std::string& from, const std::string& to, std::uint64_t bytes,
                  base::MonotonicTime now);

  /// Paces one shift by what its receiving region reports.
  void PaceShift(const std::string& service, const std::string& from, const std::string& to,
                 const std::optional<shift::ShiftMeasurement>& measured, base::MonotonicTime now);

  using ShiftKey = std::tuple<std::string, std::string, std::string>;

  /// Keys (service, from, to) of all shift caps.
  std::vector<ShiftKey> shifts() const;

 private:
  using LinkKey = std::pair<std::string, std::string>;

  struct Shift {
    std::uint64_t cap = 0;
    std::uint64_t share = 0;
    admission::ShareWindow window;
    shift::ShiftController controller;
    /// Requests that demanded to shift since the last renewal.
    mutable std::uint64_t demanded = 0;
  };

  struct LinkShare {
    std::uint64_t limit = 0;
    admission::ShareWindow window;
    mutable std::uint64_t demanded = 0;
  };

  std::string own_region_;
  timeline::EventRing& events_;
  std::map<ShiftKey, Shift> shifts_;
  std::map<LinkKey, LinkShare> links_;
};

}  // namespace wagtailpick::entry
