#include "share_allocator.h"

#include <algorithm>
#include <cmath>

#include "shift/forced_shift.h"

namespace wagtailpick::benchmarks {
namespace {

// No share expires during a run.
constexpr base::MonotonicTime kNeverExpires{base::Duration(1'000'000'000'000)};
// The median latency with warm caches is measured before the faults begin.
constexpr base::MonotonicTime kLearnUntil{5'000 * kMs};

}  // namespace

ShareAllocator::ShareAllocator(const Cluster& cluster) : cluster_(cluster) { Grant(); }

std::uint32_t ShareAllocator::Cap(std::uint16_t service) const {
  return static_cast<std::uint32_t>(cluster_.deployment().RegionCapacity(service) * kCapShare);
}

void ShareAllocator::GrantCap(const Key& pair) {
  const auto& entries = cluster_.entries();
  std::vector<routing::EntryId> holders;
  for (const routing::RegionId region : {pair.from, pair.to}) {
    if (!holders.empty()) break;
    for (routing::EntryId id = 0; id < entries.size(); ++id) {
      if (entries[id].alive && cluster_.RegionOf(entries[id].place) == region) {
        holders.push_back(id);
      }
    }
  }
  const std::uint32_t cap = Cap(pair.service);
  for (std::size_t i = 0; i < holders.size(); ++i) {
    const auto count = static_cast<std::uint32_t>(holders.size());
    const std::uint32_t share = cap / count + (i < cap % count ? 1 : 0);
    shifts_[{holders[i], pair.service, pair.from, pair.to}].SetShare(share, kNeverExpires);
  }
}

void ShareAllocator::GrantLink(routing::RegionId from, routing::RegionId to) {
  const auto& entries = cluster_.entries();
  const auto holder = [&](const EntryVm& entry) {
    return entry.alive && cluster_.RegionOf(entry.place) == from;
  };
  const auto count = std::count_if(entries.begin(), entries.end(), holder);
  if (count == 0) return;
  const std::uint64_t share =
      cluster_.deployment().link_bytes_per_s / static_cast<std::uint64_t>(count);
  for (routing::EntryId id = 0; id < entries.size(); ++id) {
    if (holder(entries[id])) links_[{id, 0, from, to}].SetShare(share, kNeverExpires);
  }
}

void ShareAllocator::Grant() {
  for (routing::RegionId from = 0; from < kRegions; ++from) {
    for (routing::RegionId to = 0; to < kRegions; ++to) {
      if (from == to) continue;
      GrantLink(from, to);
      for (std::uint16_t service = 0; service < cluster_.deployment().service_count(); ++service) {
        GrantCap({0, service, from, to});
      }
    }
  }
}

void ShareAllocator::ForceAll(base::MonotonicTime now) {
  for (auto& [key, controller] : shifts_) {
    controller.ForceLevel(1'000, now);
  }
}

routing::ShareHooks ShareAllocator::HooksOf(routing::EntryId entry) {
  routing::ShareHooks hooks;
  hooks.try_admit_shift = [this, entry](routing::ServiceId service, routing::RegionId from,
                                        routing::RegionId to, base::MonotonicTime now) {
    const auto found = shifts_.find({entry, service, from, to});
    if (found == shifts_.end() || !found->second.TryAdmit(now)) return false;
    admitted_[{0, service, from, to}].push_back(now);
    return true;
  };
  hooks.return_shift = [this, entry](routing::ServiceId service, routing::RegionId from,
                                     routing::RegionId to, base::MonotonicTime now) {
    shifts_[{entry, service, from, to}].CancelAdmission(now);
    admitted_[{0, service, from, to}].pop_back();
  };
  hooks.try_reserve_link = [this, entry](routing::RegionId from, routing::RegionId to,
                                         std::uint32_t bytes, base::MonotonicTime now) {
    const auto found = links_.find({entry, 0, from, to});
    return found != links_.end() && found->second.TryReserve(bytes, now);
  };
  return hooks;
}

ShareAllocator::RegionView ShareAllocator::ViewOf(const Key& key,
                                                  const routing::SummaryTable& table,
                                                  base::MonotonicTime now) {
  RegionView view;
  const auto report = table.ReportOf(key.service, key.to);
  if (!report) return view;
  double& warm = warm_us_[key];
  if (now < kLearnUntil || warm == 0) warm = static_cast<double>(report->latency.count());
  view.measured = {report->oldest_received_at, report->latency,
                   base::Duration(static_cast<std::int64_t>(warm)), report->free_share};
  view.total = report->total_slots;
  view.free = static_cast<std::uint32_t>(report->free_share * static_cast<float>(view.total));
  return view;
}

void ShareAllocator::Tick(routing::EntryId entry, const routing::SummaryTable& table,
                          base::MonotonicTime now) {
  for (auto& [key, controller] : shifts_) {
    if (key.entry == entry) controller.Tick(ViewOf(key, table, now).measured, now);
  }
}

void ShareAllocator::ApplyForcedShift(routing::EntryId entry, routing::RegionId lost,
                                      const routing::SummaryTable& table, base::MonotonicTime now) {
  std::vector<shift::ForcedDemand> demands;
  std::vector<shift::ForcedTarget> targets;
  std::vector<shift::ForcedLink> links;
  const Deployment& deployment = cluster_.deployment();
  for (std::uint16_t service = 0; service < deployment.service_count(); ++service) {
    const ServiceSpec& spec = deployment.services[service];
    const auto load = cluster_.scenario().load_before[lost] * deployment.RegionCapacity(service);
    demands.push_back({service, spec.priority, static_cast<std::uint32_t>(load), spec.bytes});
    for (routing::RegionId to = 0; to < kRegions; ++to) {
      if (to == lost) continue;
      const RegionView view = ViewOf({entry, service, lost, to}, table, now);
      const auto sustainable =
          shift::SustainableRate(view.free, view.total, kShiftHeadroomPercent, spec.mean_time);
      targets.push_back({to, service, Cap(service), sustainable});
      if (service == 0) links.push_back({to, deployment.link_bytes_per_s});
    }
  }
  for (const auto& grant : shift::PlanForcedShift(demands, targets, links).grants) {
    const auto found = shifts_.find({entry, grant.service, lost, grant.region});
    if (found == shifts_.end()) continue;
    const double part = static_cast<double>(grant.requests_per_s) / Cap(grant.service);
    found->second.ForceLevel(static_cast<std::uint32_t>(std::ceil(part * 1'000)), now);
  }
}

double ShareAllocator::MaxShiftShare() const {
  double max_share = 0;
  for (const auto& [key, admitted] : admitted_) {
    std::size_t begin = 0;
    for (std::size_t end = 0; end < admitted.size(); ++end) {
      while (admitted[end] - admitted[begin] >= shift::AdmitWindow::kLength) ++begin;
      max_share = std::max(max_share, static_cast<double>(end - begin + 1) / Cap(key.service));
    }
  }
  return max_share;
}

}  // namespace wagtailpick::benchmarks
