#include "base/json_nesting.h"

#include <cstddef>

namespace wagtailpick::base {

bool IsJsonNestedTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char byte = text[at];
    if (in_string) {
      if (byte == '\\') ++at;
      if (byte == '"') in_string = false;
      continue;
    }
    if (byte == '"') in_string = true;
    if (byte == ']' || byte == '}') --depth;
    if ((byte == '[' || byte == '{') && ++depth > kMaxJsonNesting) return true;
  }
  return false;
}

}  // namespace wagtailpick::base
