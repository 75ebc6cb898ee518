#include "entry/steering.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::entry {
namespace {

/// Estimated size of the header fields of a request and its answer, which use the link as well.
constexpr std::uint32_t kHeaderBytes = 1'000;

}  // namespace

Steering::Steering(std::string vm, std::string data_centre, std::string region,
                   timeline::EventRing& events)
    : vm_(std::move(vm)),
      data_centre_(std::move(data_centre)),
      region_(region),
      shares_(std::move(region), events) {}

void Steering::SetView(ViewPtr view) {
  if (view == nullptr || view->directory == nullptr) return;
  const bool new_bundle = view_ == nullptr || view_->directory != view->directory;
  const ViewPtr previous = std::exchange(view_, std::move(view));
  std::map<routing::EntryId, std::string> vms;
  for (const auto& member : view_->members) vms[member.id()] = member.vm;
  if (new_bundle) {
    shares_.SetBundle(view_->bundle);
    BuildTable();
    BuildChooser();
  } else {
    for (const auto& [id, vm] : vms_) {
      if (!vms.contains(id)) table_->Remove(id);
    }
  }
  vms_ = std::move(vms);
}

void Steering::BuildTable() {
  table_.emplace(view_->directory->topology(), view_->directory->service_count());
  warm_medians_.clear();
}

void Steering::BuildChooser() {
  const auto directory = view_->directory;
  routing::ChooserRules rules;
  rules.policy = view_->bundle.policy == bundle::Policy::kLatency ? routing::Policy::kLatency
                                                                  : routing::Policy::kHeadroom;
  rules.shift_headroom_percent = static_cast<std::uint32_t>(view_->bundle.shift_headroom_percent);
  routing::ShareHooks hooks;
  hooks.try_admit_shift = [this, directory](routing::ServiceId service, routing::RegionId from,
                                            routing::RegionId to, base::MonotonicTime now) {
    return shares_.TryAdmitShift(directory->ServiceName(service), directory->RegionName(from),
                                 directory->RegionName(to), now);
  };
  hooks.return_shift = [this, directory](routing::ServiceId service, routing::RegionId from,
                                         routing::RegionId to, base::MonotonicTime admitted_at) {
    shares_.ReturnShift(directory->ServiceName(service), directory->RegionName(from),
                        directory->RegionName(to), admitted_at);
  };
  hooks.try_reserve_link = [this, directory](routing::RegionId from, routing::RegionId to,
                                             std::uint32_t bytes, base::MonotonicTime now) {
    return shares_.TryReserveLink(directory->RegionName(from), directory->RegionName(to), bytes,
                                  now);
  };
  chooser_.emplace(directory->topology(), rules, directory->drains(), std::move(hooks));
}

void Steering::ApplySummary(const rpc::Summary& summary, base::MonotonicTime now) {
  if (view_ == nullptr) return;
  const auto id = static_cast<routing::EntryId>(summary.session_epoch());
  const Member* member = MemberOf(id);
  const auto here = view_->directory->PlaceOf(data_centre_);
  if (member == nullptr || !here) return;
  const auto there = view_->directory->PlaceOf(member->data_centre);
  if (!there) return;
  const auto round_trip = view_->directory->topology()->RoundTrip(*here, *there);
  for (const auto& place : summary.places()) {
    const auto place_id = view_->directory->PlaceOf(place.data_centre());
    const auto service = view_->directory->ServiceOf(place.service());
    if (!place_id || !service) continue;
    routing::Summary row{{id, *place_id, *service},
                         place.free_slots(),
                         place.total_slots(),
                         base::Duration(place.p50_us()),
                         summary.sequence()};
    table_->Apply(row, round_trip, now);
  }
}

void Steering::SetLocal(const std::vector<rpc::PlaceSummary>& places, base::MonotonicTime now) {
  const Member* self = view_ == nullptr ? nullptr : view_->FindMember(vm_);
  if (self == nullptr) return;
  ++local_sequence_;
  for (const auto& place : places) {
    const auto place_id = view_->directory->PlaceOf(place.data_centre());
    const auto service = view_->directory->ServiceOf(place.service());
    if (!place_id || !service) continue;
    table_->SetLocal({{self->id(), *place_id, *service},
                      place.free_slots(),
                      place.total_slots(),
                      base::Duration(place.p50_us()),
                      local_sequence_},
                     now);
  }
}

std::optional<Target> Steering::Choose(const rpc::ForwardRequest& request,
                                       const std::string& caller,
                                       const std::vector<Target>& attempted,
                                       base::MonotonicTime now, std::string& reason) {
  const auto& directory = *view_->directory;
  const auto here = directory.PlaceOf(data_centre_);
  const auto service = directory.ServiceOf(request.service());
  if (!here || !service) {
    reason = "unknown_place";
    return std::nullopt;
  }
  const auto block = directory.FindHome(caller);
  routing::ChoiceRequest choice_request;
  choice_request.home = block ? block->place : *here;
  choice_request.here = *here;
  choice_request.service = *service;
  const auto expected = view_->bundle.FindService(request.service())->expected_answer_bytes;
  choice_request.link_bytes = static_cast<std::uint32_t>(request.body().size()) +
                              static_cast<std::uint32_t>(expected) + kHeaderBytes;
  const auto attempted_pools = KeysOf(attempted);
  choice_request.attempted = attempted_pools;
  const auto choice = chooser_->Choose(
      choice_request, *table_, [this] { return random_(); }, now);
  if (choice.count == 0) {
    reason = std::string(routing::ToString(choice.reason));
    return std::nullopt;
  }
  const auto& candidate = choice.candidates.front();
  const auto vm = vms_.find(candidate.key.entry);
  if (vm == vms_.end()) {
    reason = "unknown_entry";
    return std::nullopt;
  }
  Target target;
  target.vm = vm->second;
  target.entry = candidate.key.entry;
  target.data_centre = directory.PlaceName(candidate.key.place);
  target.service = request.service();
  target.shifted = candidate.shifted;
  target.crosses_link = candidate.crosses_link;
  target.expected_answer_bytes = static_cast<std::uint64_t>(expected);
  target.chosen_at = now;
  if (IsRemote(target)) table_->RecordForward(candidate.key, now);
  return target;
}

std::optional<routing::OwnedPoolKey> Steering::KeyOf(const Target& target) const {
  const auto place = view_->directory->PlaceOf(target.data_centre);
  const auto service = view_->directory->ServiceOf(target.service);
  if (!place || !service) return std::nullopt;
  return routing::OwnedPoolKey{target.entry, *place, *service};
}

std::vector<routing::OwnedPoolKey> Steering::KeysOf(const std::vector<Target>& targets) const {
  std::vector<routing::OwnedPoolKey> keys;
  for (const auto& target : targets) {
    if (const auto key = KeyOf(target)) keys.push_back(*key);
  }
  return keys;
}

void Steering::RecordAnswer(const Target& target, base::Duration latency,
                            std::uint64_t answer_bytes, base::MonotonicTime now) {
  if (!IsRemote(target)) return;
  const auto key = KeyOf(target);
  if (!key) return;
  table_->RecordAnswer(*key, target.chosen_at, WithoutNetwork(key->place, latency), now);
  if (!target.crosses_link || answer_bytes <= target.expected_answer_bytes) return;
  const auto& directory = *view_->directory;
  const auto region = directory.topology()->RegionOf(key->place);
  shares_.ChargeLink(directory.RegionName(region), region_,
                     answer_bytes - target.expected_answer_bytes, now);
}

// The choice adds the round trip to the latency of the table.
base::Duration Steering::WithoutNetwork(routing::PlaceId place, base::Duration latency) const {
  const auto here = view_->directory->PlaceOf(data_centre_);
  if (!here) return latency;
  const auto round_trip = view_->directory->topology()->RoundTrip(*here, place);
  return std::max(latency - round_trip, base::Duration::zero());
}

void Steering::RecordRefusal(const Target& target, base::MonotonicTime now) {
  if (!IsRemote(target)) return;
  if (const auto key = KeyOf(target)) table_->RecordShed(*key, target.chosen_at, now);
}

void Steering::Tick(base::MonotonicTime now) {
  if (view_ == nullptr) return;
  for (const auto& [service, from, to] : shares_.shifts()) {
    shares_.PaceShift(service, from, to, Measure(service, to), now);
  }
}

std::optional<shift::ShiftMeasurement> Steering::Measure(const std::string& service,
                                                         const std::string& region) {
  const auto service_id = view_->directory->ServiceOf(service);
  const auto region_id = view_->directory->RegionOf(region);
  if (!service_id || !region_id) return std::nullopt;
  const auto report = table_->ReportOf(*service_id, *region_id);
  if (!report) return std::nullopt;
  auto& warm = warm_medians_[{*service_id, *region_id}];
  const bool is_lower =
      report->latency.count() > 0 && (warm.count() == 0 || report->latency < warm);
  if (is_lower) warm = report->latency;
  return shift::ShiftMeasurement{report->oldest_received_at, report->latency, warm,
                                 report->free_share};
}

const Member* Steering::MemberOf(routing::EntryId id) const {
  const auto found = std::find_if(view_->members.begin(), view_->members.end(),
                                  [&](const Member& member) { return member.id() == id; });
  return found == view_->members.end() ? nullptr : &*found;
}

}  // namespace wagtailpick::entry
