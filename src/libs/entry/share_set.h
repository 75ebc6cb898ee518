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

/// This entry's shares of the shift caps and of the links between regions. Used on the dispatcher's
/// loop only.
class ShareSet {
 public:
  ShareSet(std::string own_region, timeline::EventRing& events);

  /// Replaces the caps and links by those of `bundle`. Shares of the ones that remain are kept.
  void SetBundle(const bundle::Bundle& bundle);

  /// Adds this entry's demands to a renewal request and restarts counting them.
  void AddDemands(rpc::RenewRequest& request) const;

  /// Applies the shares granted by a renewal whose request was sent at `sent`.
  void ApplyGrants(const rpc::RenewReply& reply, base::MonotonicTime sent);

  /// Admits one request of `service` to a shift from region `from` to `to`. Returns false if the
  /// share of the cap is used up or the pacing does not allow it.
  bool TryAdmitShift(const std::string& service, const std::string& from, const std::string& to,
                     base::MonotonicTime now);

  /// Returns an admission of `TryAdmitShift` made at `admitted_at`, for a request that was not
  /// sent.
  void ReturnShift(const std::string& service, const std::string& from, const std::string& to,
                   base::MonotonicTime admitted_at);

  /// Reserves `bytes` on the links between two regions in both directions. Returns false if a share
  /// is used up or a link is missing.
  bool TryReserveLink(const std::string& from, const std::string& to, std::uint64_t bytes,
                      base::MonotonicTime now);

  /// Charges the bytes by which an answer exceeded its reservation.
  void ChargeLink(const std::string& from, const std::string& to, std::uint64_t bytes,
                  base::MonotonicTime now);

  /// Adjusts the level of one shift by the reports of its receiving region.
  void PaceShift(const std::string& service, const std::string& from, const std::string& to,
                 const std::optional<shift::ShiftMeasurement>& measured, base::MonotonicTime now);

  using ShiftKey = std::tuple<std::string, std::string, std::string>;

  /// Keys (service, from, to) of all shift caps.
  std::vector<ShiftKey> shifts() const;

 private:
  using LinkKey = std::pair<std::string, std::string>;

  struct Shift {
    /// Requests per second for all entries together, and this entry's share of them.
    std::uint64_t cap = 0;
    std::uint64_t share = 0;
    admission::ShareWindow window;
    shift::ShiftController controller;
    /// Requests that asked for an admission since the last renewal.
    mutable std::uint64_t demanded = 0;
  };

  struct LinkShare {
    /// Bytes per second for all entries together.
    std::uint64_t limit = 0;
    admission::ShareWindow window;
    /// Bytes for which a reservation was asked since the last renewal.
    mutable std::uint64_t demanded = 0;
  };

  std::string own_region_;
  timeline::EventRing& events_;
  std::map<ShiftKey, Shift> shifts_;
  std::map<LinkKey, LinkShare> links_;
};

}  // namespace wagtailpick::entry
