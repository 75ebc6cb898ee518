#pragma once

namespace wagtailpick::consensus {

/// Prints proposals per second of one group of three replicas in this process, with free syncs, and
/// bytes per proposal and follower, for several numbers of proposals in one output.
void PrintThroughput();

}  // namespace wagtailpick::consensus
