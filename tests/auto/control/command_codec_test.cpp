#include "control/command_codec.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "hostile_cbor.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::control::AcceptBundle;
using wagtailpick::control::DecodeCommand;
using wagtailpick::control::EncodeCommand;

// Guards against a damaged log record that is decoded as another command or ends the process.
Test(command_codec, rejects_truncated_and_foreign_bytes) {
  const AcceptBundle bundle{7, "digest", std::string("\0\xff bytes", 8), {{"payment", 2'000}}};
  const std::string bytes = EncodeCommand(bundle);
  cr_assert(std::get<AcceptBundle>(DecodeCommand(bytes).value()) == bundle);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const auto cut = DecodeCommand(std::string_view(bytes).substr(0, size));
    cr_assert(cut.has_error() && cut.error().code == ErrorCode::kCorrupt, "%zu bytes", size);
  }
  for (const char* foreign : {"", "text", "\x81\x18\x63", "\x80", "\xa0", "\x82\x01\x20"}) {
    cr_assert(DecodeCommand(foreign).has_error());
  }
}

// Guards against a value that is decoded as another one as only its lowest bits are kept.
Test(command_codec, refuses_values_that_do_not_fit) {
  const AcceptBundle bundle{7, "digest", "bytes", {{"payment", 2'000}}};
  const auto row = nlohmann::json::from_cbor(EncodeCommand(bundle));
  const auto decode = [](const nlohmann::json& changed) {
    const auto bytes = nlohmann::json::to_cbor(changed);
    return DecodeCommand(std::string(bytes.begin(), bytes.end()));
  };
  cr_assert(std::get<AcceptBundle>(decode(row).value()) == bundle);
  auto deadline = row;
  deadline[4][0][1] = (std::uint64_t{1} << 32U) + 2'000;
  cr_expect(!decode(deadline));
  auto type = row;
  type[0] = type[0].get<std::uint64_t>() + 256;
  cr_expect(!decode(type));
}

// Guards against bytes of another process that overflow the stack of their decoder.
Test(command_codec, refuses_deep_nesting) {
  for (const auto& bytes : DeeplyNestedCbor()) {
    cr_expect(!wagtailpick::control::DecodeCommand(bytes));
  }
}
