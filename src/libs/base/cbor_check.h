#pragma once

#include <string_view>

#include "base/result.h"

namespace wagtailpick::base {

/// Checks bytes from another process or a disk before `nlohmann::json::from_cbor` decodes them: it
/// calls itself for each level of nesting and for each nested part of a string, so that a megabyte
/// of such bytes overflows the stack. Fails with `kCorrupt` if they nest more than 16 levels, have
/// a length that is not given in advance, or end early. Bytes after the first value are not
/// checked.
Result<void> CheckCbor(std::string_view bytes);

}  // namespace wagtailpick::base
