#include "control/state_codec.h"

#include <nlohmann/json.hpp>

#include "base/cbor_check.h"
#include "base/random_id.h"
#include "control/row_codec.h"

namespace wagtailpick::control {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;
using nlohmann::json;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kDigestDigits = 64;

json BundleRow(const BundleData& bundle) {
  json answers = json::array();
  for (const auto& [version, answer] : bundle.answers) {
    answers.push_back(json::array({version, answer.digest, answer.index}));
  }
  json deadlines = json::array();
  for (const auto& entry : bundle.deadlines) {
    deadlines.push_back(json::array({entry.version, ToRow(entry.services)}));
  }
  return json::array({bundle.version, bundle.digest, ToBinary(bundle.signed_bytes),
                      std::move(answers), std::move(deadlines)});
}

BundleData BundleFrom(const json& row) {
  ExpectRow(row, 5);
  BundleData bundle{UnsignedFrom(row[0]), row[1].get<std::string>(), BytesFrom(row[2]), {}, {}};
  for (const auto& answer : row[3]) {
    ExpectRow(answer, 3);
    const std::uint64_t version = UnsignedFrom(answer[0]);
    bundle.answers[version] = {version, answer[1].get<std::string>(), UnsignedFrom(answer[2])};
  }
  for (const auto& entry : row[4]) {
    ExpectRow(entry, 2);
    bundle.deadlines.push_back({UnsignedFrom(entry[0]), DeadlinesFrom(entry[1])});
  }
  return bundle;
}

json SessionRows(const StateData& state) {
  json rows = json::array();
  for (const auto& [id, session] : state.sessions) rows.push_back(ToRow(session));
  return rows;
}

json UpstreamRows(const StateData& state) {
  json rows = json::array();
  for (const auto& [key, ownership] : state.upstreams) {
    rows.push_back(json::array({ToRow(key), ownership.incarnation, ownership.owner, ownership.epoch,
                                ownership.quarantine}));
  }
  return rows;
}

json ReplicaRows(const StateData& state) {
  json rows = json::array();
  for (const auto& [name, replica] : state.replicas) {
    rows.push_back(json::array({name, replica.incarnation, replica.nonce}));
  }
  return rows;
}

void ReadSessions(const json& rows, StateData& state) {
  for (const auto& row : rows) {
    Session session = SessionFrom(row);
    state.sessions.emplace(session.id, std::move(session));
  }
}

void ReadUpstreams(const json& rows, StateData& state) {
  for (const auto& row : rows) {
    ExpectRow(row, 5);
    state.upstreams[UpstreamFrom(row[0])] = {UnsignedFrom(row[1]), UnsignedFrom(row[2]),
                                             UnsignedFrom(row[3]), row[4].get<bool>()};
  }
}

void ReadReplicas(const json& rows, StateData& state) {
  for (const auto& row : rows) {
    ExpectRow(row, 3);
    state.replicas[row[0].get<std::string>()] = {UnsignedFrom(row[1]), row[2].get<std::string>()};
  }
}

StateData StateFrom(const json& row) {
  ExpectRow(row, 8);
  if (UnsignedFrom(row[0]) != kFormatVersion) {
    throw json::other_error::create(599, "unknown snapshot format", &row);
  }
  StateData state;
  state.applied_index = UnsignedFrom(row[1]);
  state.last_session = UnsignedFrom(row[2]);
  state.last_epoch = UnsignedFrom(row[3]);
  state.bundle = BundleFrom(row[4]);
  ReadSessions(row[5], state);
  ReadUpstreams(row[6], state);
  ReadReplicas(row[7], state);
  return state;
}

}  // namespace

std::string EncodeState(const StateData& state) {
  const json row = json::array({kFormatVersion, state.applied_index, state.last_session,
                                state.last_epoch, BundleRow(state.bundle), SessionRows(state),
                                UpstreamRows(state), ReplicaRows(state)});
  std::string body;
  json::to_cbor(row, body);
  return base::DigestHex(body) + body;
}

Result<StateData> DecodeState(std::string_view bytes) {
  if (bytes.size() < kDigestDigits) {
    return Fail(ErrorCode::kCorrupt,
                "snapshot of " + std::to_string(bytes.size()) + " bytes is too short");
  }
  const std::string body(bytes.substr(kDigestDigits));
  if (base::DigestHex(body) != bytes.substr(0, kDigestDigits)) {
    return Fail(ErrorCode::kCorrupt, "snapshot does not match its digest");
  }
  BOOST_OUTCOME_TRY(base::CheckCbor(body));
  try {
    return StateFrom(json::from_cbor(body));
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kCorrupt, std::string("cannot decode snapshot: ") + error.what());
  }
}

}  // namespace wagtailpick::control
