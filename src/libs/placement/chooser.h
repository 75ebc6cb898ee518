#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "catalog/catalog.h"
#include "observation/recorder.h"
#include "observation/shared_conditions.h"
#include "placement/choice.h"
#include "placement/cold_pacer.h"
#include "placement/network_distance.h"
#include "placement/object_census.h"
#include "placement/upstream_condition.h"
#include "placement/work_estimate.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::placement {

/// What the chooser reads; all of it belongs to the entry.
struct Beliefs {
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
  Chooser(NetworkDistance network, ColdPacer pacer);

  /// Counts a request that has come, for the rate of its object.
  void NoteRequest(const Demand& demand, base::MonotonicTime now) {
    census_.Note(demand.service, demand.object, now);
  }

  /// Chooses for `demand`; counts nothing, as the choice may not be followed.
  Choice Choose(const Demand& demand, const Beliefs& beliefs, base::MonotonicTime now);

  /// The request is sent to the chosen upstream; a cold one's bound counts it. Returns the number
  /// of the sending.
  std::uint64_t NoteSent(const Choice& choice, base::MonotonicTime now);
  /// The sending ended, `took` after it began.
  void NoteEnd(std::uint64_t sending, const Choice& choice, const Demand& demand, Outcome outcome,
               base::Duration took, base::MonotonicTime now);
  void NoteLoad(const std::string& upstream, const LoadReport& load, base::MonotonicTime now);
  /// The upstream wants nothing until `until`.
  void NoteUnwanted(const std::string& upstream, base::MonotonicTime until) {
    conditions_[upstream].NoteUnwanted(until);
  }
  /// Whether the upstream has said that it wants nothing now.
  bool IsUnwanted(const std::string& upstream, base::MonotonicTime now) const;
  void NoteConnect(const std::string& data_centre, base::Duration took);
  /// What was seen of upstreams since the last call, for the other entries.
  std::vector<observation::Observation> TakeObservations(base::MonotonicTime now) {
    return recorder_.Take(now);
  }
  /// The upstream has started again or is gone.
  void Forget(const std::string& upstream) { conditions_.erase(upstream); }

  /// The entries of the system, this one included.
  void SetEntries(std::vector<std::string> entries) {
    entry_count_ = entries.size();
    pacer_.SetEntries(std::move(entries));
  }

 private:
  struct Candidate;

  bool IsCandidate(const upstreams::KnownUpstream& known, const Demand& demand,
                   const Beliefs& beliefs) const;
  std::vector<Candidate> Candidates(const Demand& demand, const catalog::Service& service,
                                    const Beliefs& beliefs, base::MonotonicTime now);
  static void NoteReturn(const std::vector<Candidate>& candidates, base::MonotonicTime now,
                         Choice& choice);
  void LeaveOutSpared(const Demand& demand, std::vector<Candidate>& candidates);
  void KeepObjectsUpstreams(const Demand& demand, std::vector<Candidate>& candidates) const;
  void Estimate(const Demand& demand, double slots_per_object, Candidate& candidate,
                base::MonotonicTime now);
  double SlotsPerObject(const Demand& demand);
  bool Accepts(const Demand& demand, const Candidate& best);

  NetworkDistance network_;
  ColdPacer pacer_;
  WorkEstimates work_;
  ObjectCensus census_;
  std::size_t entry_count_ = 1;
  std::map<std::string, UpstreamCondition> conditions_;
  observation::Recorder recorder_;
  /// Requests that were chosen for while an upstream was spared.
  std::uint64_t choices_with_spared_ = 0;
};

}  // namespace wagtailpick::placement
