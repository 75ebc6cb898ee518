#pragma once

namespace wagtailpick::control {

/// Prints the bytes that a snapshot takes for each session and each upstream, and the time to
/// encode and decode it, at several numbers of sessions with five upstreams each.
void PrintSnapshotSize();

}  // namespace wagtailpick::control
