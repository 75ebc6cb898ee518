#include "cluster/message_codec.h"

#include <nlohmann/json.hpp>

#include "cluster/consensus_codec.h"
#include "cluster/report_codec.h"

namespace wagtailpick::cluster {
namespace {

using nlohmann::json;

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

json Fields(const Consensus& message) {
  json list = json::array();
  for (const auto& one : message.messages) list.push_back(ToFields(one));
  return json::array({list});
}

json Fields(const Reports& message) {
  json list = json::array();
  for (const auto& report : message.reports) list.push_back(ToFields(report));
  return json::array({message.ticket, list});
}

json Fields(const ReportsTaken& message) { return json::array({message.ticket}); }

json Fields(const Beats& message) {
  json list = json::array();
  for (const auto& beat : message.beats) {
    list.push_back({beat.id, beat.started_unix_ms, beat.sequence});
  }
  return json::array({list});
}

json Fields(const OrderSummary& message) {
  return {message.changed_index, message.catalog_version, message.evacuated};
}

json Fields(const Entries& message) { return json::array({message.vms}); }

json Fields(const CatalogRequest& message) { return json::array({message.version}); }

json Fields(const CatalogContent& message) {
  return {message.version, json::binary({message.bytes.begin(), message.bytes.end()})};
}

json Fields(const Ping& message) { return json::array({message.ready, message.follows}); }

void Read(const json& fields, Hello& out) {
  out.role = static_cast<NodeRole>(fields.at(0).get<std::uint8_t>());
  out.vm = fields.at(1).get<std::string>();
  out.data_centre = fields.at(2).get<std::string>();
  out.cluster_address = fields.at(3).get<std::string>();
  out.service_address = fields.at(4).get<std::string>();
  out.incarnation = fields.at(5).get<std::uint64_t>();
}

void Read(const json& fields, Replicas& out) {
  for (const auto& one : fields.at(0)) {
    out.replicas.push_back(
        {one.at(0).get<std::string>(), one.at(1).get<std::string>(), one.at(2).get<std::string>()});
  }
}

void Read(const json& fields, Consensus& out) {
  for (const auto& one : fields.at(0)) out.messages.push_back(ConsensusFrom(one));
}

void Read(const json& fields, Reports& out) {
  out.ticket = fields.at(0).get<std::uint64_t>();
  for (const auto& one : fields.at(1)) out.reports.push_back(ReportFrom(one));
}

void Read(const json& fields, ReportsTaken& out) { out.ticket = fields.at(0).get<std::uint64_t>(); }

void Read(const json& fields, Beats& out) {
  for (const auto& one : fields.at(0)) {
    out.beats.push_back({one.at(0).get<std::string>(), one.at(1).get<std::int64_t>(),
                         one.at(2).get<std::uint64_t>()});
  }
}

void Read(const json& fields, OrderSummary& out) {
  out.changed_index = fields.at(0).get<std::uint64_t>();
  out.catalog_version = fields.at(1).get<std::uint64_t>();
  out.evacuated = fields.at(2).get<std::vector<std::string>>();
}

void Read(const json& fields, Entries& out) {
  out.vms = fields.at(0).get<std::vector<std::string>>();
}

void Read(const json& fields, CatalogRequest& out) {
  out.version = fields.at(0).get<std::uint64_t>();
}

void Read(const json& fields, CatalogContent& out) {
  out.version = fields.at(0).get<std::uint64_t>();
  const auto& bytes = fields.at(1).get_binary();
  out.bytes.assign(bytes.begin(), bytes.end());
}

void Read(const json& fields, Ping& out) {
  out.ready = fields.at(0).get<bool>();
  out.follows = fields.at(1).get<bool>();
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
    return base::Fail(base::ErrorCode::kCorrupt, "message of an unknown kind");
  }
}

}  // namespace

std::string Encode(const Message& message) {
  const json fields = std::visit([](const auto& one) { return Fields(one); }, message);
  std::string frame(1, static_cast<char>(message.index()));
  json::to_msgpack(fields, frame);
  return frame;
}

base::Result<Message> Decode(const std::string& frame) {
  if (frame.empty()) return base::Fail(base::ErrorCode::kCorrupt, "empty frame");
  try {
    const auto fields = json::from_msgpack(frame.begin() + 1, frame.end());
    return DecodeAs(static_cast<unsigned char>(frame.front()), fields);
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt, error.what());
  }
}

}  // namespace wagtailpick::cluster
