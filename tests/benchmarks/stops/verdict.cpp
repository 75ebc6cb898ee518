#include "stops/verdict.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace wagtailpick::stops {
namespace {

constexpr std::array<base::EnumName<Cut>, 4> kCutNames{{
    {Cut::kElsewhere, "ELSEWHERE"},
    {Cut::kUnread, "UNREAD"},
    {Cut::kExcused, "EXCUSED"},
    {Cut::kLost, "LOST"},
}};

/// The users' limits: how long after the grace time a stop counts, until when after SIGTERM a long
/// request is excused, and how soon an entry may close the connection of a request that it has not
/// passed on.
constexpr base::Duration kAfterGrace = std::chrono::seconds(1);
constexpr base::Duration kExcusedUntil = std::chrono::seconds(3);
constexpr base::Duration kUnreadCloseLimit = milliseconds(200);
constexpr base::Duration kLastGracePart = kGrace / 6;
/// Difference between the clocks' readings of a caller and of the run that doesn't count.
constexpr base::Duration kTimeTolerance = milliseconds(50);

std::optional<Fleet::Stop> StopNear(const Attempt& attempt, const Fleet& fleet) {
  std::optional<Fleet::Stop> latest;
  for (const auto& stop : fleet.stops()) {
    if (fleet.CallersAddress(stop.entry) != attempt.address) continue;
    if (attempt.ended_at < stop.signalled_at) continue;
    if (attempt.ended_at <= stop.signalled_at + kGrace + kAfterGrace) latest = stop;
  }
  return latest;
}

bool TimeIsOver(const Attempt& attempt) {
  const auto limit = std::min<base::Duration>(attempt.time, attempt.traffic->route_timeout);
  return attempt.ended_at - attempt.began_at >= limit - kTimeTolerance;
}

/// Whether the entry broke the attempt off; an answer of a server, a refusal and the end of the
/// caller's own time are none.
bool IsBrokenOff(const Attempt& attempt, const std::optional<ServerTrace>& trace) {
  if (attempt.result.ending == Ending::kNotConnected || !attempt.result.sent_at) return false;
  if (TimeIsOver(attempt)) return false;
  if (attempt.result.ending != Ending::kAnswered) return true;
  const bool at_work = trace && trace->began_at && !trace->answered_at;
  return attempt.status >= 500 && at_work;
}

Cut Judge(const CutCase& cut) {
  if (!cut.stop) return Cut::kElsewhere;
  const auto& attempt = cut.attempt;
  if (!cut.trace) {
    const bool soon = attempt.ended_at - *attempt.result.sent_at <= kUnreadCloseLimit;
    return soon || attempt.result.ending == Ending::kReset ? Cut::kUnread : Cut::kLost;
  }
  const bool at_work = cut.trace->began_at && !cut.trace->answered_at;
  const bool late_enough = attempt.ended_at - cut.stop->signalled_at >= kGrace - kLastGracePart;
  const bool sent_early = *attempt.result.sent_at - cut.stop->signalled_at <= kExcusedUntil;
  return at_work && late_enough && sent_early ? Cut::kExcused : Cut::kLost;
}

}  // namespace

std::vector<CutCase> FindCuts(const std::vector<Attempt>& attempts, const Fleet& fleet,
                              const WorkingServers& servers) {
  std::vector<CutCase> cuts;
  for (const auto& attempt : attempts) {
    const auto trace = servers.Find(attempt.id);
    if (!IsBrokenOff(attempt, trace)) continue;
    cuts.push_back({attempt, Cut::kElsewhere, StopNear(attempt, fleet), trace});
    cuts.back().cut = Judge(cuts.back());
  }
  return cuts;
}

void Print(std::ostream& out, const CutCase& cut, const Fleet& fleet) {
  const auto& attempt = cut.attempt;
  const auto zero = cut.stop ? cut.stop->signalled_at : attempt.began_at;
  const auto at = [zero](base::MonotonicTime time) { return base::ToSeconds(time - zero); };
  out << base::NameOf(kCutNames, cut.cut) << " " << attempt.id << " " << attempt.traffic->name
      << (attempt.kept_connection ? " kept" : " new") << (attempt.chunked ? " chunked" : "")
      << (attempt.slow ? " slow" : "") << (attempt.half_closed ? " half-closed" : "")
      << (attempt.repeated ? " repeated" : "") << " began " << at(attempt.began_at) << " sent "
      << at(*attempt.result.sent_at) << " ended " << at(attempt.ended_at) << " "
      << ToString(attempt.result.ending) << " status " << attempt.status << " bytes "
      << attempt.result.partial_bytes << " time " << base::ToSeconds(attempt.time);
  if (cut.trace) {
    out << " arrivals " << cut.trace->arrivals << " runs " << cut.trace->runs << " arrived "
        << at(cut.trace->arrived_at);
    if (cut.trace->began_at) out << " work began " << at(*cut.trace->began_at);
    if (cut.trace->answered_at) out << " answered " << at(*cut.trace->answered_at);
    if (cut.trace->dropped_at) out << " dropped " << at(*cut.trace->dropped_at);
  }
  if (cut.stop && cut.stop->ended_at) {
    out << " process ended " << at(*cut.stop->ended_at) << (cut.stop->killed ? " killed" : "");
  }
  out << "\n";
  if (!cut.stop) return;
  for (const auto& line : fleet.LogLines(cut.stop->entry, attempt.id + "\"")) {
    out << "    " << line << "\n";
  }
}

}  // namespace wagtailpick::stops
