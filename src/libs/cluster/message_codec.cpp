#include "cluster/message_codec.h"

#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "base/msgpack_check.h"
#include "base/printable_text.h"
#include "cluster/consensus_codec.h"
#include "cluster/limit_codec.h"
#include "cluster/report_codec.h"
#include "cluster/suspect_codec.h"
#include "cluster/time_fields.h"
#include "compress/zstd_codec.h"

namespace wagtailpick::cluster {
namespace {

using distribution::CatalogKey;
using nlohmann::json;

/// The first byte of a frame is the message's position in `Message`. This bit of it is set when the
/// rest of the frame is compressed.
constexpr unsigned kCompressed = 0x80;
/// Compression saves little on shorter messages.
constexpr std::size_t kMinBytesToCompress = 512;
constexpr std::size_t kMaxMessageBytes = 64UL * 1024 * 1024;
/// Error id of nlohmann::json for an error of its user.
constexpr int kUnprintableName = 501;

/// Encodes a list of values that have a codec of their own.
template <typename T>
json ListOf(const std::vector<T>& values) {
  json list = json::array();
  for (const auto& value : values) list.push_back(ToFields(value));
  return json::array({list});
}

json Fields(const Hello& hello) {
  return {static_cast<std::uint8_t>(hello.role),
          hello.vm,
          hello.data_centre,
          hello.cluster_address,
          hello.service_address,
          hello.incarnation};
}

json Fields(const Replicas& message) {
  json list = json::array();
  for (const auto& replica : message.replicas) {
    list.push_back(
        json::array({replica.cluster_address, replica.service_address, replica.data_centre}));
  }
  return json::array({list});
}

json Fields(const Consensus& message) { return ListOf(message.messages); }

json Fields(const Reports& message) {
  json list = json::array();
  for (const auto& report : message.reports) list.push_back(ToFields(report));
  const json parts = message.complete_parts ? json(*message.complete_parts) : json();
  return json::array({message.ack_id, list, parts});
}

json Fields(const ReportsAck& message) { return json::array({message.ack_id}); }

json Fields(const Heartbeats& message) {
  json list = json::array();
  for (const auto& heartbeat : message.heartbeats) {
    list.push_back({heartbeat.id, heartbeat.started_unix_ms, heartbeat.sequence});
  }
  return json::array({list});
}

json Fields(const OrderSummary& message) {
  return {message.changed_index, message.catalog_version, message.evacuated};
}

json Fields(const EntryNames& message) {
  return {message.complete, message.added, message.removed};
}

json Fields(const CatalogKey& key) { return json::array({key.version, key.digest}); }

json Fields(const CatalogRequest& message) {
  return {Fields(message.held), Fields(message.wanted), Fields(message.base), message.offset};
}

json Fields(const CatalogPiece& message) {
  return {Fields(message.key), Fields(message.base), message.total, message.offset,
          json::binary({message.bytes.begin(), message.bytes.end()})};
}

json Fields(const Ping& message) {
  return {message.ready, message.follows, message.orders_index, message.catalog_version};
}

json Fields(const ReportsRequest& message) { return json::array({message.digests}); }

json Fields(const UpstreamLiveness& message) {
  json list = json::array();
  for (const auto& silent : message.silent) {
    list.push_back(json::array({silent.id, silent.silence.count()}));
  }
  return json::array({message.digest, list});
}

json Fields(const Observations& message) {
  json list = json::array();
  for (const auto& seen : message.observations) {
    list.push_back({seen.upstream, seen.good, seen.slow, seen.failed, seen.entries});
  }
  return json::array({list});
}

json Fields(const Conditions& message) {
  json list = json::array();
  for (const auto& condition : message.conditions) {
    list.push_back(json::array({condition.upstream, condition.ejected}));
  }
  return json::array({list});
}

json Fields(const Suspects& message) { return ListOf(message.reports); }

json Fields(const LimitReports& message) { return ListOf(message.reports); }

json Fields(const TokenRequest& message) { return ToFields(message); }

json Fields(const TokenAnswer& message) { return ToFields(message); }

json Fields(const TokensIssued& message) { return ListOf(message.tokens); }

// Names of processes are committed with the membership of the group, as JSON. A name that cannot be
// written as JSON would end every replica that reads it.
std::string NameFrom(const json& field) {
  auto name = field.get<std::string>();
  if (base::IsPrintable(name)) return name;
  throw json::other_error::create(kUnprintableName, "a name is not printable", &field);
}

template <typename T>
std::vector<T> IntegersFrom(const json& list) {
  std::vector<T> numbers;
  for (const auto& one : list) numbers.push_back(base::IntegerFrom<T>(one));
  return numbers;
}

void Read(const json& fields, Hello& out) {
  out.role = base::EnumFrom(fields.at(0), NodeRole::kEntry, NodeRole::kReplica);
  out.vm = NameFrom(fields.at(1));
  out.data_centre = NameFrom(fields.at(2));
  out.cluster_address = NameFrom(fields.at(3));
  out.service_address = NameFrom(fields.at(4));
  out.incarnation = base::IntegerFrom<std::uint64_t>(fields.at(5));
}

void Read(const json& fields, Replicas& out) {
  for (const auto& one : fields.at(0)) {
    out.replicas.push_back({NameFrom(one.at(0)), NameFrom(one.at(1)), NameFrom(one.at(2))});
  }
}

void Read(const json& fields, Consensus& out) {
  for (const auto& one : fields.at(0)) out.messages.push_back(ConsensusFromFields(one));
}

void Read(const json& fields, Reports& out) {
  out.ack_id = base::IntegerFrom<std::uint64_t>(fields.at(0));
  for (const auto& one : fields.at(1)) out.reports.push_back(ReportFromFields(one));
  if (!fields.at(2).is_null()) out.complete_parts = IntegersFrom<std::uint8_t>(fields.at(2));
}

void Read(const json& fields, ReportsAck& out) {
  out.ack_id = base::IntegerFrom<std::uint64_t>(fields.at(0));
}

void Read(const json& fields, Heartbeats& out) {
  for (const auto& one : fields.at(0)) {
    out.heartbeats.push_back({one.at(0).get<std::string>(),
                              base::IntegerFrom<std::int64_t>(one.at(1)),
                              base::IntegerFrom<std::uint64_t>(one.at(2))});
  }
}

void Read(const json& fields, OrderSummary& out) {
  out.changed_index = base::IntegerFrom<std::uint64_t>(fields.at(0));
  out.catalog_version = base::IntegerFrom<std::uint64_t>(fields.at(1));
  out.evacuated = fields.at(2).get<std::vector<std::string>>();
}

void Read(const json& fields, EntryNames& out) {
  out.complete = fields.at(0).get<bool>();
  out.added = fields.at(1).get<std::vector<std::string>>();
  out.removed = fields.at(2).get<std::vector<std::string>>();
}

CatalogKey KeyFromFields(const json& fields) {
  return {base::IntegerFrom<std::uint64_t>(fields.at(0)),
          base::IntegerFrom<std::uint64_t>(fields.at(1))};
}

void Read(const json& fields, CatalogRequest& out) {
  out.held = KeyFromFields(fields.at(0));
  out.wanted = KeyFromFields(fields.at(1));
  out.base = KeyFromFields(fields.at(2));
  out.offset = base::IntegerFrom<std::uint64_t>(fields.at(3));
}

void Read(const json& fields, CatalogPiece& out) {
  out.key = KeyFromFields(fields.at(0));
  out.base = KeyFromFields(fields.at(1));
  out.total = base::IntegerFrom<std::uint64_t>(fields.at(2));
  out.offset = base::IntegerFrom<std::uint64_t>(fields.at(3));
  const auto& bytes = fields.at(4).get_binary();
  out.bytes.assign(bytes.begin(), bytes.end());
}

void Read(const json& fields, Ping& out) {
  out.ready = fields.at(0).get<bool>();
  out.follows = fields.at(1).get<bool>();
  out.orders_index = base::IntegerFrom<std::uint64_t>(fields.at(2));
  out.catalog_version = base::IntegerFrom<std::uint64_t>(fields.at(3));
}

void Read(const json& fields, ReportsRequest& out) {
  out.digests = IntegersFrom<std::uint64_t>(fields.at(0));
}

void Read(const json& fields, UpstreamLiveness& out) {
  out.digest = base::IntegerFrom<std::uint64_t>(fields.at(0));
  for (const auto& one : fields.at(1)) {
    out.silent.push_back({one.at(0).get<std::string>(), DurationFrom(one.at(1), true)});
  }
}

void Read(const json& fields, Observations& out) {
  for (const auto& one : fields.at(0)) {
    out.observations.push_back(
        {one.at(0).get<std::string>(), base::IntegerFrom<std::uint32_t>(one.at(1)),
         base::IntegerFrom<std::uint32_t>(one.at(2)), base::IntegerFrom<std::uint32_t>(one.at(3)),
         base::IntegerFrom<std::uint32_t>(one.at(4))});
  }
}

void Read(const json& fields, Conditions& out) {
  for (const auto& one : fields.at(0)) {
    out.conditions.push_back({one.at(0).get<std::string>(), one.at(1).get<bool>()});
  }
}

void Read(const json& fields, Suspects& out) {
  for (const auto& one : fields.at(0)) out.reports.push_back(SuspectFromFields(one));
}

void Read(const json& fields, LimitReports& out) {
  for (const auto& one : fields.at(0)) out.reports.push_back(LimitReportFromFields(one));
}

void Read(const json& fields, TokenRequest& out) { out = TokenRequestFromFields(fields); }

void Read(const json& fields, TokenAnswer& out) { out = TokenAnswerFromFields(fields); }

void Read(const json& fields, TokensIssued& out) {
  for (const auto& one : fields.at(0)) out.tokens.push_back(IssuedTokensFromFields(one));
}

/// Decodes the alternative of `Message` at position `kind`.
template <std::size_t Position = 0>
base::Result<Message> DecodeAs(std::size_t kind, const json& fields) {
  if constexpr (Position < std::variant_size_v<Message>) {
    if (kind != Position) return DecodeAs<Position + 1>(kind, fields);
    std::variant_alternative_t<Position, Message> message;
    Read(fields, message);
    return Message(std::move(message));
  } else {
    return base::Fail(base::ErrorCode::kCorrupt, "unknown message kind " + std::to_string(kind));
  }
}

}  // namespace

std::string Encode(const Message& message) {
  const json fields = std::visit([](const auto& one) { return Fields(one); }, message);
  const auto kind = static_cast<unsigned char>(message.index());
  std::string packed;
  json::to_msgpack(fields, packed);
  if (packed.size() >= kMinBytesToCompress) {
    return std::string(1, static_cast<char>(kind | kCompressed)) + compress::Compress(packed);
  }
  return std::string(1, static_cast<char>(kind)) + packed;
}

base::Result<Message> Decode(const std::string& frame) {
  if (frame.empty()) return base::Fail(base::ErrorCode::kCorrupt, "empty frame");
  const auto first = static_cast<unsigned char>(frame.front());
  std::string packed = frame.substr(1);
  if ((first & kCompressed) != 0) {
    BOOST_OUTCOME_TRY(content, compress::Decompress(packed, kMaxMessageBytes));
    packed = std::move(content);
  }
  BOOST_OUTCOME_TRY(base::CheckMessagePack(packed));
  try {
    return DecodeAs(first & ~kCompressed, json::from_msgpack(packed));
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt, error.what());
  }
}

}  // namespace wagtailpick::cluster
