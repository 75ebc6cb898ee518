#include "control/command_codec.h"

#include <criterion/criterion.h>

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

// Guards against bytes of another process that overflow the stack of their decoder.
Test(command_codec, refuses_deep_nesting) {
  for (const auto& bytes : DeeplyNestedCbor()) {
    cr_expect(!wagtailpick::control::DecodeCommand(bytes));
  }
}
