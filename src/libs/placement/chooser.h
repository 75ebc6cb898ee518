#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "catalog/catalog.h"
#include "observation/recorder.h"
#include "observation/shared_conditions.h"
#include "placement/choice.h"
#include "placement/cold_rate_limiter.h"
#include "placement/network_distance.h"
#include "placement/object_tracker.h"
#include "placement/upstream_condition.h"
#include "placement/work_estimate.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::placement {

/// What the chooser reads; all of it belongs to the entry.
struct RoutingView {
  const upstreams::UpstreamTable* upstreams = nullptr;
  const catalog::Catalog* catalog = nullptr;
  /// Data centres that get no requests.
  const std::set<std::string>* evacuated = nullptr;
  /// What all entries have seen; null for nothing.
  const observation::SharedConditions* shared = nullptr;
};

/// Chooses the upstream from which the answer is expected first: network, queue and work, where the
/// work depends on whether the upstream has lately handled the request's object. A rendezvous order
/// per object, the same on all entries, names the few upstreams that may handle it.
class Chooser {
 public:
  Chooser(NetworkDistance network, ColdRateLimiter pacer);

  /// Counts a request that has come, for the rate of its object.
  void RecordRequest(const PlacementRequest& demand, base::MonotonicTime now) {
    census_.Note(demand.service, demand.object, now);
  }

  /// Chooses for `demand`; counts nothing, as the choice may not be followed.
  Choice Choose(const PlacementRequest& demand, const RoutingView& routing,
                base::MonotonicTime now);

  /// The request is sent to the chosen upstream; a cold one's bound counts it. Returns the number
  /// of the sending.
  std::uint64_t RecordAttemptStart(const Choice& choice, base::MonotonicTime now);
  /// The sending ended, `took` after it began.
  void RecordAttemptEnd(std::uint64_t sending, const Choice& choice, const PlacementRequest& demand,
                        Outcome outcome, base::Duration took, base::MonotonicTime now);
  void RecordLoad(const std::string& upstream, const LoadReport& load, base::MonotonicTime now);
  /// The upstream wants nothing until `until`.
  void SetBackOff(const std::string& upstream, base::MonotonicTime until) {
    conditions_[upstream].SetBackOff(until);
  }
  /// Whether the upstream has said that it wants nothing now.
  bool IsBackingOff(const std::string& upstream, base::MonotonicTime now) const;
  void RecordConnectTime(const std::string& data_centre, base::Duration took);
  /// What was seen of upstreams since the last call, for the other entries.
  std::vector<observation::Observation> ConsumeObservations(base::MonotonicTime now) {
    return recorder_.Take(now);
  }
  /// The upstream has started again or is gone.
  void RemoveUpstream(const std::string& upstream) { conditions_.erase(upstream); }

  /// The entries of the system, this one included.
  void SetEntries(std::vector<std::string> entries) {
    entry_count_ = entries.size();
    pacer_.SetEntries(std::move(entries));
  }

 private:
  struct Candidate;

  bool IsCandidate(const upstreams::KnownUpstream& known, const PlacementRequest& demand,
                   const RoutingView& routing) const;
  std::vector<Candidate> Candidates(const PlacementRequest& demand, const catalog::Service& service,
                                    const RoutingView& routing, base::MonotonicTime now);
  static void NoteReturn(const std::vector<Candidate>& candidates, base::MonotonicTime now,
                         Choice& choice);
  void LeaveOutSpared(const PlacementRequest& demand, std::vector<Candidate>& candidates);
  void KeepObjectsUpstreams(const PlacementRequest& demand,
                            std::vector<Candidate>& candidates) const;
  void Estimate(const PlacementRequest& demand, double slots_per_object, Candidate& candidate,
                base::MonotonicTime now);
  double SlotsPerObject(const PlacementRequest& demand);
  bool Accepts(const PlacementRequest& demand, const Candidate& best);

  NetworkDistance network_;
  ColdRateLimiter pacer_;
  WorkEstimates work_;
  ObjectTracker census_;
  std::size_t entry_count_ = 1;
  std::map<std::string, UpstreamCondition> conditions_;
  observation::Recorder recorder_;
  /// Requests that were chosen for while an upstream was spared.
  std::uint64_t choices_with_spared_ = 0;
};

}  // namespace wagtailpick::placement
