#pragma once

namespace wagtailpick::admission {

/// Prints acquire and release per second and heap bytes per upstream at four table sizes.
void MeasureSlotTable();

}  // namespace wagtailpick::admission
