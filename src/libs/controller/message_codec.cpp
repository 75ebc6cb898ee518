#include "controller/message_codec.h"

namespace wagtailpick::controller {
namespace {

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

consensus::Message FromWire(const rpc::ConsensusMessage& wire) {
  consensus::Message message;
  message.kind = static_cast<consensus::MessageKind>(wire.kind());
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
    message.entries.push_back({entry.index(), entry.term(),
                               static_cast<consensus::EntryKind>(entry.kind()), entry.data()});
  }
  message.chunk = ChunkFrom(wire.chunk());
  return message;
}

}  // namespace wagtailpick::controller
