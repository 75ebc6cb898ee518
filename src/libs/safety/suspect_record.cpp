#include "safety/suspect_record.h"

#include <algorithm>
#include <tuple>

namespace wagtailpick::safety {
namespace {

// A fingerprint gets this many strikes only by succeeding in between; the oldest say least.
constexpr std::size_t kMaxStrikes = 16;

bool IsLater(const Success& a, const Success& b) {
  return std::tie(a.at, a.address) > std::tie(b.at, b.address);
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

std::size_t UpstreamsLost(const SuspectReport& report) {
  std::vector<UpstreamRun> lost;
  for (const Strike& strike : report.strikes) {
    if (strike.is_void) continue;
    if (std::find(lost.begin(), lost.end(), strike.upstream) == lost.end()) {
      lost.push_back(strike.upstream);
    }
  }
  return lost.size();
}

bool SucceededElsewhere(const SuspectReport& report, WallMillis since) {
  const auto is_lost = [&](const std::string& address) {
    return std::any_of(report.strikes.begin(), report.strikes.end(), [&](const Strike& strike) {
      return !strike.is_void && strike.upstream.address == address;
    });
  };
  return std::any_of(report.successes.begin(), report.successes.end(), [&](const Success& success) {
    return !success.address.empty() && success.at >= since && !is_lost(success.address);
  });
}

}  // namespace wagtailpick::safety
