#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace wagtailpick::compress {

/// Returns `content` compressed as a zstd frame with a checksum. With a `base`, parts that both
/// have in common take almost no space, and `Decompress` needs the same base. Throws
/// `std::bad_alloc` when memory is short.
std::string Compress(std::string_view content, std::string_view base = {});

/// Returns the content that `Compress` compressed with the same base. Fails with `kCorrupt` on
/// other bytes, on another base, and on content of more than `max_bytes` bytes. Throws
/// `std::bad_alloc` when memory is short.
base::Result<std::string> Decompress(std::string_view compressed, std::size_t max_bytes,
                                     std::string_view base = {});

}  // namespace wagtailpick::compress
