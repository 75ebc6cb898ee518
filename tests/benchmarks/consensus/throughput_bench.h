#pragma once

namespace wagtailpick::consensus {

/// Prints proposals per second and bytes per proposal and follower of a group of three replicas in
/// this process, for several numbers of proposals per output. Syncs take no time.
void PrintThroughput();

}  // namespace wagtailpick::consensus
