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

/// Entry and data centre to which a request is sent. Holds names and no indexes of the routing
/// tables, as a bundle that comes while the request runs renumbers them.
struct Target {
  /// Entry that owns the upstreams.
  std::string vm;
  routing::EntryId entry = 0;
  std::string data_centre;
  std::string service;
  /// Whether the data centre is outside the caller's home region.
  bool shifted = false;
  /// Whether the data centre is outside this entry's region.
  bool crosses_link = false;
  /// Bytes that were reserved on the link for the body of the answer.
  std::uint64_t expected_answer_bytes = 0;
  base::MonotonicTime chosen_at;
};

/// Chooses the owning entry and the data centre for each request by the summaries of all entries.
/// Used on the dispatcher's loop only.
class Steering {
 public:
  Steering(std::string vm, std::string data_centre, std::string region,
           timeline::EventRing& events);

  /// Applies a new bundle or new members.
  void SetView(ViewPtr view);

  /// Applies the summary of another entry; ignores one of an unknown entry.
  void ApplySummary(const rpc::Summary& summary, base::MonotonicTime now);

  /// Sets the exact counts of this entry's own slots.
  void SetLocal(const std::vector<rpc::PlaceSummary>& places, base::MonotonicTime now);

  /// Chooses a target other than those in `attempted`, which have refused the request. `caller` is
  /// the caller's IP address. Returns nothing and sets `reason` if there is no target.
  std::optional<Target> Choose(const rpc::ForwardRequest& request, const std::string& caller,
                               const std::vector<Target>& attempted, base::MonotonicTime now,
                               std::string& reason);

  /// Records that a request to `target` was answered. `latency` is the time from sending it to the
  /// answer, `answer_bytes` the size of the answer's body.
  void RecordAnswer(const Target& target, base::Duration latency, std::uint64_t answer_bytes,
                    base::MonotonicTime now);

  /// Records that a request to `target` was refused or lost.
  void RecordRefusal(const Target& target, base::MonotonicTime now);

  /// Adjusts the levels of all shifts. Must be called several times a second.
  void Tick(base::MonotonicTime now);

  ShareSet& shares() { return shares_; }

 private:
  void BuildChooser();
  /// Returns the load of a service in a region by the summaries; nothing if no owner is known.
  std::optional<shift::ShiftMeasurement> Measure(const std::string& service,
                                                 const std::string& region);
  void BuildTable();
  const Member* MemberOf(routing::EntryId id) const;
  /// Returns the target's pool in the tables of the current bundle; nothing if it has none.
  std::optional<routing::OwnedPoolKey> KeyOf(const Target& target) const;
  std::vector<routing::OwnedPoolKey> KeysOf(const std::vector<Target>& targets) const;
  /// Returns `latency` without the network's round trip to `place`.
  base::Duration WithoutNetwork(routing::PlaceId place, base::Duration latency) const;
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
  /// Lowest median latency reported by a region for a service: its latency with warm caches.
  std::map<std::pair<routing::ServiceId, routing::RegionId>, base::Duration> warm_medians_;
};

}  // namespace wagtailpick::entry
