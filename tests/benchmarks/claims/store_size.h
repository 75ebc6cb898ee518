#pragma once

namespace wagtailpick::claims {

/// Fills stores of four sizes and prints claims per second and bytes per key of each.
void PrintStoreTable();

}  // namespace wagtailpick::claims
