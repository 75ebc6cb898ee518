#include "steering.h"

namespace wagtailpick::benchmarks {
namespace {

/// Uses the routing and shift libraries as an entry does.
class LibrarySteering : public Steering {
 public:
  explicit LibrarySteering(const SteeringInputs& inputs)
      : cluster_(inputs.cluster), shares_(inputs.shares), random_(inputs.seed) {
    const Deployment& deployment = cluster_.deployment();
    for (std::size_t i = 0; i < cluster_.entries().size(); ++i) {
      tables_.emplace_back(deployment.topology, deployment.services.size());
    }
    LibrarySteering::HandleDrainChange();
  }

  routing::Choice Choose(routing::EntryId entry, const routing::ChoiceRequest& request,
                         base::MonotonicTime now) override {
    for (auto& group : cluster_.groups()) {
      if (group.key.entry == entry && group.key.service == request.service) {
        tables_[entry].SetLocal(SummaryOf(group, now), now);
      }
    }
    return choosers_[entry].Choose(
        request, tables_[entry], [this] { return random_(); }, now);
  }

  std::optional<std::size_t> PickUpstream(OwnedGroup& group, routing::RegionId,
                                          base::MonotonicTime now) override {
    return group.chooser.Choose(States(group, now), now);
  }

  void ApplySummary(routing::EntryId to, const routing::Summary& summary, base::Duration round_trip,
                    base::MonotonicTime now) override {
    tables_[to].Apply(summary, round_trip, now);
  }
  void RecordForward(routing::EntryId from, const routing::OwnedPoolKey& key,
                     base::MonotonicTime now) override {
    tables_[from].RecordForward(key, now);
  }
  void RecordAnswer(routing::EntryId from, const routing::OwnedPoolKey& key,
                    base::MonotonicTime sent_at, base::Duration latency,
                    base::MonotonicTime now) override {
    tables_[from].RecordAnswer(key, sent_at, latency, now);
  }
  void RecordShed(routing::EntryId from, const routing::OwnedPoolKey& key,
                  base::MonotonicTime sent_at, base::MonotonicTime now) override {
    tables_[from].RecordShed(key, sent_at, now);
  }

  void Tick(base::MonotonicTime now) override {
    for (routing::EntryId i = 0; i < tables_.size(); ++i) {
      for (auto& group : cluster_.groups()) {
        if (group.key.entry == i) tables_[i].SetLocal(SummaryOf(group, now), now);
      }
      shares_.Tick(i, tables_[i], now);
    }
  }

  void HandleRegionLost(routing::RegionId lost, base::MonotonicTime now) override {
    for (routing::EntryId i = 0; i < tables_.size(); ++i) {
      for (routing::EntryId gone = 0; gone < tables_.size(); ++gone) {
        if (!cluster_.entries()[gone].alive) tables_[i].Remove(gone);
      }
      shares_.ApplyForcedShift(i, lost, tables_[i], now);
    }
  }

  void HandleDrainChange() override {
    const Deployment& deployment = cluster_.deployment();
    routing::DrainSet drains(kPlaces, deployment.services.size());
    for (routing::PlaceId place = 0; place < kPlaces; ++place) {
      if (cluster_.drained()[place]) drains.Add({place, std::nullopt});
    }
    choosers_.clear();
    for (routing::EntryId i = 0; i < tables_.size(); ++i) {
      choosers_.emplace_back(deployment.topology,
                             routing::ChooserRules{deployment.policy, kShiftHeadroomPercent},
                             drains, shares_.HooksOf(i));
    }
  }

 private:
  std::vector<routing::UpstreamState> States(const OwnedGroup& group, base::MonotonicTime now) {
    std::vector<routing::UpstreamState> states;
    for (const auto i : group.upstreams) {
      const Upstream& upstream = cluster_.upstreams()[i];
      states.push_back({upstream.id, upstream.usable, upstream.in_use, upstream.idle_connections,
                        upstream.IsUp(now)});
    }
    return states;
  }

  routing::Summary SummaryOf(OwnedGroup& group, base::MonotonicTime now) {
    return {group.key, group.chooser.FreeSlots(States(group, now), now), cluster_.TotalSlots(group),
            base::Duration(static_cast<std::int64_t>(group.chooser.MedianAnswerLatency())), 0};
  }

  Cluster& cluster_;
  ShareAllocator& shares_;
  std::mt19937_64 random_;
  std::vector<routing::SummaryTable> tables_;
  std::vector<routing::PlaceChooser> choosers_;
};

}  // namespace

std::unique_ptr<Steering> MakeLibrarySteering(const SteeringInputs& inputs) {
  return std::make_unique<LibrarySteering>(inputs);
}

}  // namespace wagtailpick::benchmarks
