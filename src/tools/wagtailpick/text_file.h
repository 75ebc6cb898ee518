#pragma once

#include <string>

#include "base/result.h"

namespace wagtailpick::tool {

/// Reads a whole file. Fails with `kIo` and the file's name.
base::Result<std::string> ReadWholeFile(const std::string& path);

/// Writes a new file that only its owner can read when `is_secret`. Fails with `kIo`, also when the
/// file exists and is secret: a key is never overwritten.
base::Result<void> WriteWholeFile(const std::string& path, const std::string& content,
                                  bool is_secret);

/// Returns `text` without blanks and line ends around it.
std::string TrimBlanks(const std::string& text);

}  // namespace wagtailpick::tool
