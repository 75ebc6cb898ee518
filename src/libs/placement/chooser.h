#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "catalog/catalog.h"
#include "limits/entry_limits.h"
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

/// The entry's routing state, as the chooser reads it. Nothing is owned; all pointers but `shared`
/// and `limits` must be set.
struct RoutingView {
  const upstreams::UpstreamTable* upstreams = nullptr;
  const catalog::Catalog* catalog = nullptr;
  /// Names of the data centres that get no requests.
  const std::set<std::string>* evacuated = nullptr;
  /// Upstream conditions observed by all entries together; null if there are none.
  const observation::SharedConditions* shared = nullptr;
  /// Rate limits of upstreams; null if there are none.
  const limits::EntryLimits* limits = nullptr;
};

/// Chooses the upstream with the lowest expected cost: the time for network, queue and work, plus
/// penalties for traffic between data centres, recent failures and load. The expected work depends
/// on whether the upstream has recently handled the request's object. On sticky routes, rendezvous
/// hashing gives each object the same few upstreams on all entries of a region.
class Chooser {
 public:
  /// `network` measures from this entry's data centre; `cold_limiter` holds this entry's share of
  /// the rate limits of cold upstreams.
  Chooser(NetworkDistance network, ColdRateLimiter cold_limiter);

  /// Counts a request that has arrived, to estimate the rate of its object.
  void RecordRequest(const PlacementRequest& request, base::MonotonicTime now) {
    objects_.RecordRequest(request.service, request.object, now);
  }

  /// Returns an upstream for `request`, or a refusal. Does not count an attempt, as the caller may
  /// discard the choice; a caller that follows it calls `RecordAttemptStart`.
  Choice Choose(const PlacementRequest& request, const RoutingView& routing,
                base::MonotonicTime now);

  /// Records that the request is sent to the chosen upstream, which counts against the rate limit
  /// of a cold one. Returns the ID of the attempt, for `RecordAttemptEnd`.
  std::uint64_t RecordAttemptStart(const Choice& choice, base::MonotonicTime now);
  /// Records how an attempt ended, `took` after its start.
  void RecordAttemptEnd(std::uint64_t attempt_id, const Choice& choice,
                        const PlacementRequest& request, Outcome outcome, base::Duration took,
                        base::MonotonicTime now);
  /// Stores the load that the upstream reported in an answer.
  void RecordLoad(const std::string& upstream, const LoadReport& load, base::MonotonicTime now);
  /// Sends the upstream no requests until `until`; has no effect if a later time is set already.
  void SetBackOff(const std::string& upstream, base::MonotonicTime until) {
    conditions_[upstream].SetBackOff(until);
  }
  /// Returns whether the upstream is backing off at `now`.
  bool IsBackingOff(const std::string& upstream, base::MonotonicTime now) const;
  /// Records how long a connection to an upstream in `data_centre` took to open.
  void RecordConnectTime(const std::string& data_centre, base::Duration took);
  /// Returns the observations of upstreams since the last call, to be shared with other entries.
  std::vector<observation::Observation> ConsumeObservations(base::MonotonicTime now) {
    return recorder_.Consume(now);
  }
  /// Drops what was recorded of an upstream that has restarted or is gone.
  void RemoveUpstream(const std::string& upstream) { conditions_.erase(upstream); }
  /// Number of upstreams of which something is recorded.
  std::size_t recorded_upstreams() const { return conditions_.size(); }

  /// Sets the names of all entries of the system, this one included.
  void SetEntries(std::vector<std::string> entries) {
    entry_count_ = entries.size();
    cold_limiter_.SetEntries(std::move(entries));
  }

 private:
  struct Candidate;

  static constexpr std::size_t kMinCleanupSize = 256;

  /// Returns whether the upstream is ready, announces itself, and lies in a data centre that may
  /// serve the request.
  bool IsCandidate(const upstreams::KnownUpstream& known, const PlacementRequest& request,
                   const RoutingView& routing) const;
  std::vector<Candidate> FindCandidates(const PlacementRequest& request,
                                        const catalog::Service& service, const RoutingView& routing,
                                        base::MonotonicTime now);
  /// Removes the records of upstreams that are not known, once there are twice as many records as
  /// after the last removal.
  void RemoveForgotten(const upstreams::UpstreamTable& known, base::MonotonicTime now);
  /// Sets the candidate's rate limit, and whether it holds the request back.
  static void ApplyLimit(const PlacementRequest& request, const limits::EntryLimits& limits,
                         Candidate& candidate, base::MonotonicTime now);
  /// Stores the candidate in `choice` if its rate limit holds the request back and no other one is
  /// stored.
  static void SetHeldBackBy(const Candidate& candidate, base::MonotonicTime now, Choice& choice);
  /// Keeps the usable candidates.
  static void KeepUsable(std::vector<Candidate>& candidates, base::MonotonicTime now,
                         Choice& choice);
  /// Refuses with `kBackingOff` or `kRateLimited` if any candidate is backing off or held back;
  /// later steps override it.
  static void SetRetryAfter(const std::vector<Candidate>& candidates, base::MonotonicTime now,
                            Choice& choice);
  /// Marks ejected upstreams as not usable while another one is usable.
  void ExcludeEjected(const PlacementRequest& request, std::vector<Candidate>& candidates);
  /// Keeps the usable upstreams that rank first for the request's object.
  void KeepUpstreamsOfObject(const PlacementRequest& request, std::vector<Candidate>& candidates,
                             base::MonotonicTime now, Choice& choice) const;
  /// Fills in the candidate's times and cost.
  void Estimate(const PlacementRequest& request, double slots_per_object, Candidate& candidate,
                base::MonotonicTime now);
  /// Returns the slots that the request's object needs over all entries of the region, such that it
  /// occupies no more than `kMaxSlotShareOfObject` of each of its upstreams.
  double SlotsPerObject(const PlacementRequest& request);
  /// Returns whether the request may queue for `best`.
  bool Accepts(const PlacementRequest& request, const Candidate& best);

  NetworkDistance network_;
  ColdRateLimiter cold_limiter_;
  WorkEstimates work_estimates_;
  ObjectTracker objects_;
  std::size_t entry_count_ = 1;
  std::map<std::string, UpstreamCondition> conditions_;
  /// Number of records at which those of upstreams that are not known are removed.
  std::size_t cleanup_size_ = kMinCleanupSize;
  observation::Recorder recorder_;
  /// Choices for which at least one candidate was ejected and another one usable.
  std::uint64_t choices_with_ejected_ = 0;
};

}  // namespace wagtailpick::placement
