#pragma once

#include <cstddef>
#include <string>

#include "base/result.h"
#include "bundle/bundle.h"

namespace wagtailpick::bundle {

/// Maximum size of the JSON text of a bundle, in bytes.
inline constexpr std::size_t kMaxBundleBytes = 14UL * 1024 * 1024;

/// Parses the JSON text of a bundle and validates it. Fails with `kInvalidArgument` and a message
/// that starts with the path of the first invalid field, or with `kLimitExceeded` when `text` is
/// larger than `kMaxBundleBytes`.
base::Result<Bundle> ParseBundle(const std::string& text);

}  // namespace wagtailpick::bundle
