#pragma once

#include <string>

#include "base/result.h"

namespace wagtailpick::base {

/// Checks MessagePack bytes from another process or a disk before `nlohmann::json::from_msgpack`
/// decodes them: it calls itself for each level of nesting and could overflow the stack. Fails with
/// `kCorrupt` if they nest more than 16 levels (messages and records nest 5 at most), and with
/// `kLimitExceeded` if they hold more than a million values, which take 16 MB or more when decoded.
Result<void> CheckMessagePack(const std::string& packed);

}  // namespace wagtailpick::base
