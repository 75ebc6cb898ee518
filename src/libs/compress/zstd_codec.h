#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace wagtailpick::compress {

/// Compresses `content`. With a `base`, what both have in common costs next to nothing, and only a
/// reader that holds the same base can restore the content.
std::string Compress(std::string_view content, std::string_view base = {});

/// Restores what `Compress` made with the same base. Fails with `kCorrupt` on anything else, on
/// another base, and on content of more than `max_bytes` bytes.
base::Result<std::string> Decompress(std::string_view packed, std::size_t max_bytes,
                                     std::string_view base = {});

}  // namespace wagtailpick::compress
