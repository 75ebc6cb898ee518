#pragma once

namespace wagtailpick::claims {

/// Fills stores of four sizes and prints the claims per second and the heap bytes per key of each.
void PrintStoreTable();

}  // namespace wagtailpick::claims
