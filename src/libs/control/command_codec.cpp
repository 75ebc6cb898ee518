#include "control/command_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "base/cbor_check.h"
#include "control/row_codec.h"

namespace wagtailpick::control {
namespace {

using nlohmann::json;

// Type numbers in the log. They are stored, so a number must never be reused for another type.
enum class CommandType : std::uint8_t {
  kAcceptBundle = 1,
  kOpenSession = 2,
  kCloseSession = 3,
  kGrantOwnership = 4,
  kReleaseOwnership = 5,
  kRemoveUpstream = 6,
  kRegisterReplica = 7,
};

template <typename... Values>
json Row(CommandType type, Values&&... values) {
  return json::array({static_cast<std::uint8_t>(type), std::forward<Values>(values)...});
}

json Encode(const AcceptBundle& command) {
  return Row(CommandType::kAcceptBundle, command.version, command.digest,
             ToBinary(command.signed_bytes), ToRow(command.deadlines));
}

json Encode(const OpenSession& command) {
  return Row(CommandType::kOpenSession, ToRow(command.session));
}

json Encode(const CloseSession& command) {
  return Row(CommandType::kCloseSession, command.session);
}

json Encode(const GrantOwnership& command) {
  return Row(CommandType::kGrantOwnership, ToRow(command.upstream), command.incarnation,
             command.session);
}

json Encode(const ReleaseOwnership& command) {
  return Row(CommandType::kReleaseOwnership, ToRow(command.upstream), command.session,
             command.epoch, command.idle);
}

json Encode(const RemoveUpstream& command) {
  return Row(CommandType::kRemoveUpstream, ToRow(command.upstream), command.epoch);
}

json Encode(const RegisterReplica& command) {
  return Row(CommandType::kRegisterReplica, command.replica, command.nonce);
}

[[noreturn]] void ThrowUnknownType(const json& row) {
  throw json::other_error::create(599, "unknown command type", &row);
}

Command FromRow(const json& row) {
  const std::uint64_t type = UnsignedFrom(row.at(0));
  if (type > std::numeric_limits<std::uint8_t>::max()) ThrowUnknownType(row);
  switch (static_cast<CommandType>(type)) {
    case CommandType::kAcceptBundle:
      return AcceptBundle{UnsignedFrom(row.at(1)), row.at(2).get<std::string>(),
                          BytesFrom(row.at(3)), DeadlinesFrom(row.at(4))};
    case CommandType::kOpenSession:
      return OpenSession{SessionFrom(row.at(1))};
    case CommandType::kCloseSession:
      return CloseSession{UnsignedFrom(row.at(1))};
    case CommandType::kGrantOwnership:
      return GrantOwnership{UpstreamFrom(row.at(1)), UnsignedFrom(row.at(2)),
                            UnsignedFrom(row.at(3))};
    case CommandType::kReleaseOwnership:
      return ReleaseOwnership{UpstreamFrom(row.at(1)), UnsignedFrom(row.at(2)),
                              UnsignedFrom(row.at(3)), row.at(4).get<bool>()};
    case CommandType::kRemoveUpstream:
      return RemoveUpstream{UpstreamFrom(row.at(1)), UnsignedFrom(row.at(2))};
    case CommandType::kRegisterReplica:
      return RegisterReplica{row.at(1).get<std::string>(), row.at(2).get<std::string>()};
  }
  ThrowUnknownType(row);
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  const json row = std::visit([](const auto& value) { return Encode(value); }, command);
  std::string bytes;
  json::to_cbor(row, bytes);
  return bytes;
}

base::Result<Command> DecodeCommand(std::string_view bytes) {
  BOOST_OUTCOME_TRY(base::CheckCbor(bytes));
  try {
    return FromRow(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt,
                      std::string("cannot decode control command: ") + error.what());
  }
}

}  // namespace wagtailpick::control
