#pragma once

#include <optional>
#include <ostream>
#include <vector>

#include "stops/caller.h"
#include "stops/fleet.h"
#include "stops/working_servers.h"

namespace wagtailpick::stops {

/// How an attempt that ended without a complete answer counts.
enum class Cut {
  /// No stop of the entry is near.
  kElsewhere,
  /// The entry had not passed the request on, and closed the connection soon.
  kUnread,
  /// The server was still at work shortly before SIGKILL, on a request from before 3 s after
  /// SIGTERM.
  kExcused,
  kLost,
};

/// One attempt that ended without a complete answer, or with an answer of the entry's own while
/// the server was at work.
struct CutCase {
  Attempt attempt;
  Cut cut = Cut::kElsewhere;
  std::optional<Fleet::Stop> stop;
  std::optional<ServerTrace> trace;
};

/// Judges all attempts of a run.
std::vector<CutCase> FindCuts(const std::vector<Attempt>& attempts, const Fleet& fleet,
                              const WorkingServers& servers);

/// Prints one case, with its times relative to SIGTERM and the entry's log lines of the request.
void Print(std::ostream& out, const CutCase& cut, const Fleet& fleet);

}  // namespace wagtailpick::stops
