#pragma once

namespace wagtailpick::admission {

/// Prints the acquire and release operations per second and the heap bytes per upstream of slot
/// tables of four sizes.
void MeasureSlotTable();

}  // namespace wagtailpick::admission
