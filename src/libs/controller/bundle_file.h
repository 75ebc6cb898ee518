#pragma once

#include <string>

#include "base/result.h"

namespace wagtailpick::controller {

/// Reads a whole file; an empty text when there is none. Fails with `kIo`.
base::Result<std::string> ReadFile(const std::string& path);

/// Replaces a file so that after a crash either the old or the new content is there; returns once
/// the new one is synced. Fails with `kIo`.
base::Result<void> ReplaceFile(const std::string& folder, const std::string& name,
                               const std::string& content);

}  // namespace wagtailpick::controller
