#include "safety/suspect_record.h"

#include <algorithm>
#include <tuple>

namespace wagtailpick::safety {
namespace {

// A fingerprint can only get this many strikes if successes cleared earlier ones. The oldest
// strikes matter least and are dropped first.
constexpr std::size_t kMaxStrikes = 16;

bool IsLater(const Success& a, const Success& b) {
  return std::tie(a.at, a.address) > std::tie(b.at, b.address);
}

bool IsSeenByOwner(const Strike& strike) { return strike.owner_session.empty(); }

bool HaveSameCause(const Strike& a, const Strike& b) {
  return a.upstream == b.upstream ||
         (!a.owner_session.empty() && a.owner_session == b.owner_session);
}

void DropOldestStrike(std::vector<Strike>& strikes) {
  const auto oldest =
      std::min_element(strikes.begin(), strikes.end(), [](const Strike& a, const Strike& b) {
        return std::make_tuple(!a.is_void, a.at, a.id) < std::make_tuple(!b.is_void, b.at, b.id);
      });
  strikes.erase(oldest);
}

}  // namespace

void AddSuccess(Successes& successes, const Success& success) {
  if (success.address.empty()) return;
  for (Success& known : successes) {
    if (known.address != success.address) continue;
    known.at = std::max(known.at, success.at);
    if (IsLater(successes[1], successes[0])) std::swap(successes[0], successes[1]);
    return;
  }
  if (IsLater(success, successes[1])) successes[1] = success;
  if (IsLater(successes[1], successes[0])) std::swap(successes[0], successes[1]);
}

void AddStrike(SuspectReport& report, const Strike& strike) {
  const auto place =
      std::lower_bound(report.strikes.begin(), report.strikes.end(), strike.id,
                       [](const Strike& known, const std::string& id) { return known.id < id; });
  if (place != report.strikes.end() && place->id == strike.id) {
    place->is_void = place->is_void || strike.is_void;
    place->at = std::max(place->at, strike.at);
    return;
  }
  report.strikes.insert(place, strike);
  if (report.strikes.size() > kMaxStrikes) DropOldestStrike(report.strikes);
}

bool MergeInto(SuspectReport& report, const SuspectReport& other) {
  const SuspectReport before = report;
  for (const Strike& strike : other.strikes) AddStrike(report, strike);
  for (const Success& success : other.successes) AddSuccess(report.successes, success);
  report.renewed_at = std::max(report.renewed_at, other.renewed_at);
  return report != before;
}

// Groups the strikes that have the same cause, directly or through others, and counts the groups.
std::size_t CountLostUpstreams(const SuspectReport& report, bool include_owner_losses) {
  std::vector<const Strike*> open;
  for (const Strike& strike : report.strikes) {
    if (!strike.is_void && (include_owner_losses || IsSeenByOwner(strike))) open.push_back(&strike);
  }
  std::size_t groups = 0;
  while (!open.empty()) {
    ++groups;
    std::vector<const Strike*> group{open.back()};
    open.pop_back();
    for (std::size_t next = 0; next < group.size(); ++next) {
      const Strike& strike = *group[next];
      const auto same = std::partition(open.begin(), open.end(), [&](const Strike* other) {
        return !HaveSameCause(strike, *other);
      });
      group.insert(group.end(), same, open.end());
      open.erase(same, open.end());
    }
  }
  return groups;
}

bool SucceededElsewhere(const SuspectReport& report, WallMillis since) {
  const auto is_lost = [&](const std::string& address) {
    return std::any_of(report.strikes.begin(), report.strikes.end(), [&](const Strike& strike) {
      return !strike.is_void && IsSeenByOwner(strike) && strike.upstream.address == address;
    });
  };
  return std::any_of(report.successes.begin(), report.successes.end(), [&](const Success& success) {
    return !success.address.empty() && success.at >= since && !is_lost(success.address);
  });
}

}  // namespace wagtailpick::safety
