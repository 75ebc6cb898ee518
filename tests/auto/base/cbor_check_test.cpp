#include "base/cbor_check.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "hostile_cbor.h"

using nlohmann::json;
using wagtailpick::base::CheckCbor;

// Guards against bytes that overflow the stack of their decoder.
Test(cbor_check, refuses_deep_nesting) {
  for (const auto& bytes : DeeplyNestedCbor()) cr_expect(!CheckCbor(bytes));
}

// Guards against a check that refuses what the encoder writes, or accepts a part of it.
Test(cbor_check, accepts_what_is_encoded_and_no_part_of_it) {
  const json value = {1,
                      -1,
                      300,
                      70'000,
                      UINT64_MAX,
                      2.5,
                      true,
                      nullptr,
                      "text",
                      std::string(300, 'x'),
                      json::array(),
                      json::object({{"a", json::array({1, 2})}}),
                      json::binary({0, 255})};
  const auto encoded = json::to_cbor(value);
  const std::string bytes(encoded.begin(), encoded.end());
  cr_expect(CheckCbor(bytes).has_value());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cr_expect(!CheckCbor(bytes.substr(0, size)), "%zu bytes", size);
  }
}

// Guards against lengths whose sums or products wrap.
Test(cbor_check, refuses_lengths_beyond_the_end) {
  for (const char type : {'\x5b', '\x7b', '\x9b', '\xbb'}) {
    cr_expect(!CheckCbor(type + std::string(8, '\xff') + "rest"));
    cr_expect(!CheckCbor(type + ('\x80' + std::string(7, '\0')) + "rest"));
  }
}
