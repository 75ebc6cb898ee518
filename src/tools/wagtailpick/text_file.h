#pragma once

#include <string>

#include "base/result.h"

namespace wagtailpick::tool {

/// Returns the content of the file `path`. Fails with `kIo` and a message that names the file.
base::Result<std::string> ReadWholeFile(const std::string& path);

/// Writes `content` to the file `path`. If `is_secret`, only the owner can read the file, and an
/// existing file is not overwritten, as that would destroy a key. Fails with `kIo` and a message
/// that names the file.
base::Result<void> WriteWholeFile(const std::string& path, const std::string& content,
                                  bool is_secret);

/// Returns `text` without leading and trailing spaces, tabs and line breaks.
std::string TrimWhitespace(const std::string& text);

}  // namespace wagtailpick::tool
