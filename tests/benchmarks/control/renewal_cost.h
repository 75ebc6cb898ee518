#pragma once

namespace wagtailpick::control {

/// Prints what a leader spends on one renewal at several numbers of sessions, and the ratio to the
/// smallest number.
void PrintRenewalCost();

}  // namespace wagtailpick::control
