#pragma once

namespace wagtailpick::control {

/// Prints the leader's processor time for one renewal in nanoseconds at several numbers of
/// sessions, and its ratio to that at the smallest number.
void PrintRenewalCost();

}  // namespace wagtailpick::control
