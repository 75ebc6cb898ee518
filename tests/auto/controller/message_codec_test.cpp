#include "controller/message_codec.h"

#include <criterion/criterion.h>

using wagtailpick::consensus::EntryKind;
using wagtailpick::consensus::Message;
using wagtailpick::consensus::MessageKind;
using wagtailpick::controller::FromWire;
using wagtailpick::controller::ToWire;

// Guards against a field that is missing from the conversion in either direction.
Test(message_codec, round_trip_keeps_every_field) {
  Message message;
  message.kind = MessageKind::kSnapshot;
  message.from = {"127.0.0.1:1", 2};
  message.to = {"127.0.0.1:3", 4};
  message.term = 5;
  message.log_index = 6;
  message.log_term = 7;
  message.commit = 8;
  message.sent_at = 9;
  message.accepted = true;
  message.match = 10;
  message.entries = {{11, 12, EntryKind::kData, std::string("a\0b", 3)}};
  message.chunk = {13, 14, "members", 15, "data", true};
  const auto decoded = FromWire(ToWire(message));
  cr_assert(decoded.has_value());
  cr_assert(decoded.value() == message);
}

// Guards against a kind that is cut to eight bits, such as 256 as a vote request, and against an
// entry of an unknown kind, which would be acknowledged and dropped when it is applied.
Test(message_codec, refuses_unknown_kinds) {
  for (const std::uint32_t kind : {9U, 255U, 256U, 4'294'967'295U}) {
    auto wire = ToWire(Message{});
    wire.set_kind(kind);
    cr_expect(!FromWire(wire), "message of kind %u", kind);
  }
  for (const std::uint32_t kind : {3U, 256U}) {
    auto wire = ToWire(Message{});
    wire.add_entries()->set_kind(kind);
    cr_expect(!FromWire(wire), "entry of kind %u", kind);
  }
}
