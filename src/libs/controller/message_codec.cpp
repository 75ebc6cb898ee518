#include "controller/message_codec.h"

#include <cstdint>
#include <string>

namespace wagtailpick::controller {
namespace {

using base::Result;

void Fill(rpc::ReplicaKey& wire, const consensus::ReplicaKey& key) {
  wire.set_name(key.name);
  wire.set_incarnation(key.incarnation);
}

consensus::ReplicaKey KeyFrom(const rpc::ReplicaKey& wire) {
  return {wire.name(), wire.incarnation()};
}

void Fill(rpc::SnapshotChunk& wire, const consensus::SnapshotChunk& chunk) {
  wire.set_index(chunk.index);
  wire.set_term(chunk.term);
  wire.set_membership(chunk.membership);
  wire.set_offset(chunk.offset);
  wire.set_data(chunk.data);
  wire.set_last(chunk.last);
}

consensus::SnapshotChunk ChunkFrom(const rpc::SnapshotChunk& wire) {
  return {wire.index(), wire.term(), wire.membership(), wire.offset(), wire.data(), wire.last()};
}

/// Returns the kind with this number, of the kinds up to `last`.
template <typename Kind>
Result<Kind> KindFrom(std::uint32_t number, Kind last, const std::string& of) {
  if (number > static_cast<std::uint32_t>(last)) {
    return base::Fail(base::ErrorCode::kCorrupt, of + " of unknown kind " + std::to_string(number));
  }
  return static_cast<Kind>(number);
}

}  // namespace

rpc::ConsensusMessage ToWire(const consensus::Message& message) {
  rpc::ConsensusMessage wire;
  wire.set_kind(static_cast<std::uint32_t>(message.kind));
  Fill(*wire.mutable_from(), message.from);
  Fill(*wire.mutable_to(), message.to);
  wire.set_term(message.term);
  wire.set_log_index(message.log_index);
  wire.set_log_term(message.log_term);
  wire.set_commit(message.commit);
  wire.set_sent_at(message.sent_at);
  wire.set_accepted(message.accepted);
  wire.set_match(message.match);
  for (const auto& entry : message.entries) {
    auto* out = wire.add_entries();
    out->set_index(entry.index);
    out->set_term(entry.term);
    out->set_kind(static_cast<std::uint32_t>(entry.kind));
    out->set_data(entry.data);
  }
  Fill(*wire.mutable_chunk(), message.chunk);
  return wire;
}

Result<consensus::Message> FromWire(const rpc::ConsensusMessage& wire) {
  consensus::Message message;
  BOOST_OUTCOME_TRY(kind,
                    KindFrom(wire.kind(), consensus::MessageKind::kJoin, "consensus message"));
  message.kind = kind;
  message.from = KeyFrom(wire.from());
  message.to = KeyFrom(wire.to());
  message.term = wire.term();
  message.log_index = wire.log_index();
  message.log_term = wire.log_term();
  message.commit = wire.commit();
  message.sent_at = wire.sent_at();
  message.accepted = wire.accepted();
  message.match = wire.match();
  for (const auto& entry : wire.entries()) {
    BOOST_OUTCOME_TRY(entry_kind,
                      KindFrom(entry.kind(), consensus::EntryKind::kMembership, "log entry"));
    message.entries.push_back({entry.index(), entry.term(), entry_kind, entry.data()});
  }
  message.chunk = ChunkFrom(wire.chunk());
  return message;
}

}  // namespace wagtailpick::controller
