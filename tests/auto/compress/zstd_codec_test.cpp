#include "compress/zstd_codec.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kMax = 1'000'000;

std::string Lines(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += "line " + std::to_string(i * 7'919) + " of the content\n";
  return text;
}

}  // namespace

// Guards against bytes that change on the way.
Test(zstd_codec, restores_what_it_compressed) {
  for (const auto& content : {std::string(), std::string("\0\xff", 2), Lines(5'000)}) {
    const auto back = compress::Decompress(compress::Compress(content), kMax);
    cr_assert(back.has_value());
    cr_expect(back.value() == content);
  }
}

// Guards against a small change of a large content that costs as much as all of it.
Test(zstd_codec, stores_only_the_difference_from_a_base) {
  const std::string base = Lines(20'000);
  std::string content = base;
  content.replace(content.size() / 2, 4, "other");
  const auto packed = compress::Compress(content, base);
  cr_expect(packed.size() < 500, "%zu bytes", packed.size());
  const auto back = compress::Decompress(packed, kMax, base);
  cr_assert(back.has_value());
  cr_expect(back.value() == content);
}

// Guards against content that is made up from another base, from damaged bytes, or without bound.
Test(zstd_codec, refuses_what_it_cannot_restore) {
  const std::string base = Lines(1'000);
  const auto packed = compress::Compress(base + "more", base);
  cr_expect(!compress::Decompress(packed, kMax, Lines(999)));
  cr_expect(!compress::Decompress(packed, kMax));
  cr_expect(!compress::Decompress("junk", kMax));
  cr_expect(!compress::Decompress("", kMax));
  cr_expect(!compress::Decompress(compress::Compress(base), base.size() - 1));
  auto damaged = compress::Compress(base);
  damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 1);
  cr_expect(!compress::Decompress(damaged, kMax));
}
