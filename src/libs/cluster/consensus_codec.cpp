#include "cluster/consensus_codec.h"

#include <nlohmann/json.hpp>

#include "base/json_number.h"

namespace wagtailpick::cluster {
namespace {

using nlohmann::json;

json Binary(const std::string& bytes) { return json::binary({bytes.begin(), bytes.end()}); }

std::string BytesFrom(const json& field) {
  const auto& bytes = field.get_binary();
  return {bytes.begin(), bytes.end()};
}

consensus::ReplicaKey KeyFromFields(const json& fields) {
  return {fields.at(0).get<std::string>(), base::IntegerFrom<std::uint64_t>(fields.at(1))};
}

json EntriesOf(const consensus::Message& message) {
  json entries = json::array();
  for (const auto& entry : message.entries) {
    entries.push_back(
        {entry.index, entry.term, static_cast<std::uint8_t>(entry.kind), Binary(entry.data)});
  }
  return entries;
}

}  // namespace

json ToFields(const consensus::Message& message) {
  const auto& chunk = message.chunk;
  const json chunk_fields = {chunk.index,  chunk.term,         chunk.membership,
                             chunk.offset, Binary(chunk.data), chunk.last};
  return {static_cast<std::uint8_t>(message.kind),
          json::array({message.from.name, message.from.incarnation}),
          json::array({message.to.name, message.to.incarnation}),
          message.term,
          message.log_index,
          message.log_term,
          message.commit,
          message.sent_at,
          message.accepted,
          message.match,
          EntriesOf(message),
          chunk_fields};
}

consensus::Message ConsensusFromFields(const json& fields) {
  consensus::Message message;
  message.kind =
      base::EnumFrom(fields.at(0), consensus::MessageKind::kPreVote, consensus::MessageKind::kJoin);
  message.from = KeyFromFields(fields.at(1));
  message.to = KeyFromFields(fields.at(2));
  message.term = base::IntegerFrom<std::uint64_t>(fields.at(3));
  message.log_index = base::IntegerFrom<std::uint64_t>(fields.at(4));
  message.log_term = base::IntegerFrom<std::uint64_t>(fields.at(5));
  message.commit = base::IntegerFrom<std::uint64_t>(fields.at(6));
  message.sent_at = base::IntegerFrom<std::int64_t>(fields.at(7));
  message.accepted = fields.at(8).get<bool>();
  message.match = base::IntegerFrom<std::uint64_t>(fields.at(9));
  for (const auto& entry : fields.at(10)) {
    message.entries.push_back({base::IntegerFrom<std::uint64_t>(entry.at(0)),
                               base::IntegerFrom<std::uint64_t>(entry.at(1)),
                               base::EnumFrom(entry.at(2), consensus::EntryKind::kNoop,
                                              consensus::EntryKind::kMembership),
                               BytesFrom(entry.at(3))});
  }
  const auto& chunk = fields.at(11);
  message.chunk = {base::IntegerFrom<std::uint64_t>(chunk.at(0)),
                   base::IntegerFrom<std::uint64_t>(chunk.at(1)),
                   chunk.at(2).get<std::string>(),
                   base::IntegerFrom<std::uint64_t>(chunk.at(3)),
                   BytesFrom(chunk.at(4)),
                   chunk.at(5).get<bool>()};
  return message;
}

}  // namespace wagtailpick::cluster
