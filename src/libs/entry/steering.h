#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "entry/share_set.h"
#include "entry/view.h"
#include "routing/place_chooser.h"
#include "routing/summary_table.h"

namespace wagtailpick::entry {

/// Where a request goes.
struct Target {
  std::string vm;
  std::string data_centre;
  bool shifted = false;
  bool crosses_link = false;
  routing::OwnedPoolKey key;
  base::MonotonicTime chosen_at;
};

/// Chooses the entry and place for each request from the summaries of all entries. Used on the
/// dispatcher's loop.
class Steering {
 public:
  Steering(std::string vm, std::string data_centre, std::string region,
           timeline::EventRing& events);

  /// Takes over a new bundle or new members.
  void SetView(ViewPtr view);

  /// Takes in what another entry reports.
  void ApplySummary(const rpc::Summary& summary, base::MonotonicTime now);

  /// Sets the exact counts of this entry's own slots.
  void SetLocal(const std::vector<rpc::PlaceSummary>& places, base::MonotonicTime now);

  /// Chooses a target; `attempted` have refused the request already. On failure `reason` says why.
  std::optional<Target> Choose(const rpc::ForwardRequest& request, const std::string& caller,
                               const std::vector<routing::OwnedPoolKey>& attempted,
                               base::MonotonicTime now, std::string& reason);

  /// Reports how a request to `target` ended: it took `latency` there, or it was refused or lost.
  void RecordAnswer(const Target& target, base::Duration latency, std::uint64_t answer_bytes,
                    base::MonotonicTime now);
  void RecordRefusal(const Target& target, base::MonotonicTime now);

  /// Paces shifts; call it several times a second.
  void Tick(base::MonotonicTime now);

  ShareSet& shares() { return shares_; }

 private:
  void BuildChooser();
  /// What the summaries say about a service in a region; nothing when no owner is known.
  std::optional<shift::ShiftMeasurement> Measure(const std::string& service,
                                                 const std::string& region);
  void BuildTable();
  const Member* MemberOf(routing::EntryId id) const;
  bool IsRemote(const Target& target) const { return target.vm != vm_; }

  std::string vm_;
  std::string data_centre_;
  std::string region_;
  ShareSet shares_;
  ViewPtr view_;
  std::optional<routing::SummaryTable> table_;
  std::optional<routing::PlaceChooser> chooser_;
  std::map<routing::EntryId, std::string> vms_;
  std::mt19937_64 random_{std::random_device{}()};
  std::uint64_t local_sequence_ = 0;
  /// Lowest median that a region showed for a service: its answer time with warm caches.
  std::map<std::pair<routing::ServiceId, routing::RegionId>, base::Duration> warm_medians_;
};

}  // namespace wagtailpick::entry
