#include "compress/zstd_codec.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kMaxBytes = 1'000'000;

std::string Lines(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += "line " + std::to_string(i * 7'919) + " of the content\n";
  return text;
}

}  // namespace

// Guards against content that changes when it is compressed and decompressed.
Test(zstd_codec, restores_compressed_content) {
  for (const auto& content : {std::string(), std::string("\0\xff", 2), Lines(5'000)}) {
    const auto restored = compress::Decompress(compress::Compress(content), kMaxBytes);
    cr_assert(restored.has_value());
    cr_expect(restored.value() == content);
  }
}

// Guards against a small change to large content that takes as much space as the whole content.
Test(zstd_codec, stores_only_the_difference_from_a_base) {
  const std::string base = Lines(20'000);
  std::string content = base;
  content.replace(content.size() / 2, 4, "other");
  const auto compressed = compress::Compress(content, base);
  cr_expect(compressed.size() < 500, "%zu bytes", compressed.size());
  const auto restored = compress::Decompress(compressed, kMaxBytes, base);
  cr_assert(restored.has_value());
  cr_expect(restored.value() == content);
}

// Guards against content that is restored from the wrong base or from damaged bytes, or that is
// larger than allowed.
Test(zstd_codec, rejects_bytes_that_it_cannot_restore) {
  const std::string base = Lines(1'000);
  const auto compressed = compress::Compress(base + "more", base);
  cr_expect(!compress::Decompress(compressed, kMaxBytes, Lines(999)));
  cr_expect(!compress::Decompress(compressed, kMaxBytes));
  cr_expect(!compress::Decompress("junk", kMaxBytes));
  cr_expect(!compress::Decompress("", kMaxBytes));
  cr_expect(!compress::Decompress(compress::Compress(base), base.size() - 1));
  auto damaged = compress::Compress(base);
  damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 1);
  cr_expect(!compress::Decompress(damaged, kMaxBytes));
}
