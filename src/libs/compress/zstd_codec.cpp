#include "compress/zstd_codec.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>

namespace wagtailpick::compress {
namespace {

/// Fast enough for a VM with a tenth of a core.
constexpr int kCompressionLevel = 3;
/// The smallest window of zstd, as a power of 2 bytes.
constexpr int kMinWindowLog = 10;
/// By default, zstd refuses to decompress larger windows (128 MiB).
constexpr int kMaxWindowLog = 27;

struct FreeCompressor {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct FreeDecompressor {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

base::Error Corrupt(const char* reason) {
  return {base::ErrorCode::kCorrupt, std::string("compressed bytes: ") + reason};
}

}  // namespace

std::string Compress(std::string_view content, std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
  if (context == nullptr) throw std::bad_alloc();
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!base.empty()) {
    // The window must reach from the end of the content back to the start of the base.
    const int window_log =
        std::clamp(static_cast<int>(std::bit_width(base.size() + content.size())), kMinWindowLog,
                   kMaxWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string compressed(ZSTD_compressBound(content.size()), '\0');
  const auto size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(),
                                   content.data(), content.size());
  // The buffer is large enough for any result, so only a lack of memory can fail.
  if (ZSTD_isError(size) != 0) throw std::bad_alloc();
  compressed.resize(size);
  return compressed;
}

base::Result<std::string> Decompress(std::string_view compressed, std::size_t max_bytes,
                                     std::string_view base) {
  const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Corrupt("no valid frame header with a content size");
  }
  if (size > max_bytes) return Corrupt("the content size exceeds the limit");
  const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
  if (context == nullptr) throw std::bad_alloc();
  if (!base.empty()) ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string content(static_cast<std::size_t>(size), '\0');
  const auto restored = ZSTD_decompressDCtx(context.get(), content.data(), content.size(),
                                            compressed.data(), compressed.size());
  if (ZSTD_isError(restored) != 0) return Corrupt(ZSTD_getErrorName(restored));
  if (restored != content.size()) {
    return Corrupt("the content is shorter than its frame header states");
  }
  return content;
}

}  // namespace wagtailpick::compress
