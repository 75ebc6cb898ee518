#pragma once

namespace wagtailpick::control {

/// Prints the bytes of a snapshot per session and per upstream, and the processor time in
/// milliseconds to encode and decode it, at several numbers of sessions with five upstreams each.
void PrintSnapshotSize();

}  // namespace wagtailpick::control
