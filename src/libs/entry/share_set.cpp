#include "entry/share_set.h"

#include <algorithm>
#include <utility>

#include "control/lease_times.h"

namespace wagtailpick::entry {
namespace {

/// Divisor of a cap or link limit; the result is requested even without demand, so that the first
/// shifted request does not have to wait for a renewal.
constexpr std::uint64_t kIdleDemandDivisor = 16;

std::uint64_t Demand(std::uint64_t limit, std::uint64_t demanded) {
  // Limits are per second and renewals are sent four times a second, so the factor is 4; doubled to
  // allow for growth.
  const std::uint64_t grown = demanded * 8;
  return std::clamp<std::uint64_t>(grown, std::max<std::uint64_t>(1, limit / kIdleDemandDivisor),
                                   std::max<std::uint64_t>(1, limit));
}

}  // namespace

ShareSet::ShareSet(std::string own_region, timeline::EventRing& events)
    : own_region_(std::move(own_region)), events_(events) {}

void ShareSet::SetBundle(const bundle::Bundle& bundle) {
  std::map<ShiftKey, Shift> shifts;
  for (const auto& cap : bundle.shift_caps) {
    ShiftKey key{cap.service, cap.from, cap.to};
    const auto known = shifts_.find(key);
    Shift shift = known == shifts_.end() ? Shift() : std::move(known->second);
    shift.cap = static_cast<std::uint64_t>(cap.requests_per_s);
    shifts.emplace(std::move(key), std::move(shift));
  }
  shifts_ = std::move(shifts);
  std::map<LinkKey, LinkShare> links;
  for (const auto& link : bundle.links) {
    LinkKey key{link.from, link.to};
    const auto known = links_.find(key);
    LinkShare share = known == links_.end() ? LinkShare() : std::move(known->second);
    share.limit = static_cast<std::uint64_t>(link.ShareBytesPerSecond());
    links.emplace(std::move(key), std::move(share));
  }
  links_ = std::move(links);
}

void ShareSet::AddDemands(rpc::RenewRequest& request) const {
  for (const auto& [key, shift] : shifts_) {
    const auto& [service, from, to] = key;
    if (from != own_region_ && shift.demanded == 0) continue;
    auto* demand = request.add_demands();
    demand->set_service(service);
    demand->set_from(from);
    demand->set_to(to);
    demand->set_amount(Demand(shift.cap, shift.demanded));
    shift.demanded = 0;
  }
  for (const auto& [key, link] : links_) {
    const bool is_own = key.first == own_region_ || key.second == own_region_;
    if (!is_own) continue;
    auto* demand = request.add_demands();
    demand->set_is_link(true);
    demand->set_from(key.first);
    demand->set_to(key.second);
    demand->set_amount(Demand(link.limit, link.demanded));
    link.demanded = 0;
  }
}

void ShareSet::ApplyGrants(const rpc::RenewReply& reply, base::MonotonicTime sent) {
  for (const auto& grant : reply.shares()) {
    if (grant.is_link()) {
      const auto link = links_.find({grant.from(), grant.to()});
      if (link != links_.end()) link->second.window.Apply({sent, grant.amount()});
      continue;
    }
    const auto found = shifts_.find({grant.service(), grant.from(), grant.to()});
    if (found == shifts_.end()) continue;
    auto& shift = found->second;
    if (!shift.window.Apply({sent, grant.amount()})) continue;
    shift.controller.SetShare(static_cast<std::uint32_t>(grant.amount()),
                              sent + control::LeaseTimes().HolderLease());
    if (shift.share == grant.amount()) continue;
    shift.share = grant.amount();
    events_.Record(base::WallNowMillis(), timeline::EventKind::kShareGranted,
                   grant.service() + " " + grant.from() + "-" + grant.to(),
                   std::to_string(grant.amount()) + " requests per s");
  }
}

bool ShareSet::TryAdmitShift(const std::string& service, const std::string& from,
                             const std::string& to, base::MonotonicTime now) {
  const auto found = shifts_.find({service, from, to});
  if (found == shifts_.end()) return false;
  auto& shift = found->second;
  ++shift.demanded;
  if (!shift.controller.TryAdmit(now)) return false;
  if (shift.window.TryAdmit(1, now) == admission::ShareDecision::kAdmitted) return true;
  shift.controller.CancelAdmission(now);
  return false;
}

void ShareSet::ReturnShift(const std::string& service, const std::string& from,
                           const std::string& to, base::MonotonicTime admitted_at) {
  // The window keeps counting the admission, which can only admit fewer requests than the share.
  const auto found = shifts_.find({service, from, to});
  if (found != shifts_.end()) found->second.controller.CancelAdmission(admitted_at);
}

bool ShareSet::TryReserveLink(const std::string& from, const std::string& to, std::uint64_t bytes,
                              base::MonotonicTime now) {
  const auto there = links_.find({from, to});
  const auto back = links_.find({to, from});
  if (there == links_.end() || back == links_.end()) return false;
  there->second.demanded += bytes;
  back->second.demanded += bytes;
  if (back->second.window.Available(now) < bytes) return false;
  if (there->second.window.TryAdmit(bytes, now) != admission::ShareDecision::kAdmitted) {
    return false;
  }
  return back->second.window.TryAdmit(bytes, now) == admission::ShareDecision::kAdmitted;
}

void ShareSet::ChargeLink(const std::string& from, const std::string& to, std::uint64_t bytes,
                          base::MonotonicTime now) {
  const auto found = links_.find({from, to});
  if (found != links_.end()) found->second.window.AddDebt(bytes, now);
}

void ShareSet::PaceShift(const std::string& service, const std::string& from, const std::string& to,
                         const std::optional<shift::ShiftMeasurement>& measured,
                         base::MonotonicTime now) {
  const auto found = shifts_.find({service, from, to});
  if (found == shifts_.end()) return;
  const auto before = found->second.controller.level_permille();
  const auto step = found->second.controller.Tick(measured, now);
  if (step.level_permille == before) return;
  events_.Record(base::WallNowMillis(), timeline::EventKind::kShiftStep,
                 service + " " + from + "-" + to,
                 std::to_string(step.level_permille) + " permille, " +
                     std::string(shift::ToString(step.reason)));
}

std::vector<ShareSet::ShiftKey> ShareSet::shifts() const {
  std::vector<ShiftKey> keys;
  keys.reserve(shifts_.size());
  for (const auto& [key, shift] : shifts_) keys.push_back(key);
  return keys;
}

}  // namespace wagtailpick::entry
