#pragma once

#include <string_view>

namespace wagtailpick::base {

/// Levels of arrays and objects that a JSON text from outside may nest; the deepest message
/// nests 6.
inline constexpr int kMaxJsonNesting = 32;

/// Whether a JSON text nests more than `kMaxJsonNesting` levels; brackets in strings don't count.
/// Check it before parsing: each level takes about a hundred bytes, and functions that walk a value
/// recursively would overflow the stack.
bool IsJsonNestedTooDeep(std::string_view text);

}  // namespace wagtailpick::base
