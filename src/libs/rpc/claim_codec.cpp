#include "rpc/claim_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "base/wall_time.h"

namespace wagtailpick::rpc {
namespace {

using base::Result;

template <std::size_t Size>
std::string ToBytes(const std::array<std::uint8_t, Size>& value) {
  return {value.begin(), value.end()};
}

template <std::size_t Size>
Result<void> ReadBytes(const std::string& bytes, const char* field,
                       std::array<std::uint8_t, Size>& out) {
  if (bytes.size() != Size) {
    return base::Fail(base::ErrorCode::kInvalidArgument, std::string(field) + ": expected " +
                                                             std::to_string(Size) + " bytes, got " +
                                                             std::to_string(bytes.size()));
  }
  std::copy(bytes.begin(), bytes.end(), out.begin());
  return base::Ok();
}

Result<claims::Table> ReadTable(std::uint32_t table) {
  if (table > static_cast<std::uint32_t>(claims::Table::kTrials)) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "table: unknown value " + std::to_string(table));
  }
  return static_cast<claims::Table>(table);
}

Result<claims::ReplicaIndex> ReadReplica(std::uint32_t replica) {
  if (replica >= claims::kMaxReplicas) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "replica: unknown number " + std::to_string(replica));
  }
  return static_cast<claims::ReplicaIndex>(replica);
}

/// Writes the fields that identify a claim in all messages and records.
template <typename Claim, typename Wire>
void WriteIdentity(const Claim& claim, Wire& wire) {
  wire.set_table(static_cast<std::uint32_t>(claim.table));
  wire.set_key(ToBytes(claim.key));
  wire.set_attempt(ToBytes(claim.attempt));
}

template <typename Wire, typename Claim>
Result<void> ReadIdentity(const Wire& wire, Claim& claim) {
  BOOST_OUTCOME_TRY(table, ReadTable(wire.table()));
  claim.table = table;
  BOOST_OUTCOME_TRY(ReadBytes(wire.key(), "key", claim.key));
  return ReadBytes(wire.attempt(), "attempt", claim.attempt);
}

template <typename Wire>
void WriteKnown(const claims::Incarnations& known, Wire& wire) {
  for (claims::ReplicaIndex i = 0; i < claims::kMaxReplicas; ++i) wire.add_known(known.of(i));
}

template <typename Wire>
claims::Incarnations ReadKnown(const Wire& wire) {
  claims::Incarnations known;
  const int size = std::min(wire.known_size(), static_cast<int>(claims::kMaxReplicas));
  for (int i = 0; i < size; ++i) known.Raise(static_cast<claims::ReplicaIndex>(i), wire.known(i));
  return known;
}

}  // namespace

ClaimRecord ToWire(const claims::Record& record) {
  ClaimRecord wire;
  wire.set_kind(static_cast<std::uint32_t>(record.kind));
  WriteIdentity(record, wire);
  wire.set_body(ToBytes(record.body));
  wire.set_claimed_at(record.claimed_at);
  wire.set_deadline(record.deadline);
  wire.set_refused_at(record.refused_at);
  wire.set_answer_kept(record.answer_kept);
  wire.set_answer(record.answer);
  wire.set_replica(record.replica);
  wire.set_incarnation(record.incarnation);
  return wire;
}

Result<claims::Record> FromWire(const ClaimRecord& wire) {
  claims::Record record;
  if (wire.kind() > static_cast<std::uint32_t>(claims::RecordKind::kReady)) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "kind: unknown value " + std::to_string(wire.kind()));
  }
  record.kind = static_cast<claims::RecordKind>(wire.kind());
  BOOST_OUTCOME_TRY(ReadIdentity(wire, record));
  BOOST_OUTCOME_TRY(ReadBytes(wire.body(), "body", record.body));
  BOOST_OUTCOME_TRY(claimed_at, base::CheckWallMillis(wire.claimed_at(), "claimed_at"));
  record.claimed_at = claimed_at;
  BOOST_OUTCOME_TRY(deadline, base::CheckWallMillis(wire.deadline(), "deadline"));
  record.deadline = deadline;
  BOOST_OUTCOME_TRY(refused_at, base::CheckWallMillis(wire.refused_at(), "refused_at"));
  record.refused_at = refused_at;
  record.answer_kept = wire.answer_kept();
  record.answer = wire.answer();
  BOOST_OUTCOME_TRY(replica, ReadReplica(wire.replica()));
  record.replica = replica;
  record.incarnation = wire.incarnation();
  return record;
}

ClaimRequest ToWire(const claims::ClaimRequest& request) {
  ClaimRequest wire;
  WriteIdentity(request, wire);
  wire.set_body(ToBytes(request.body));
  wire.set_started_at(request.started_at);
  wire.set_deadline(request.deadline);
  return wire;
}

Result<claims::ClaimRequest> FromWire(const ClaimRequest& wire) {
  claims::ClaimRequest request;
  BOOST_OUTCOME_TRY(ReadIdentity(wire, request));
  BOOST_OUTCOME_TRY(ReadBytes(wire.body(), "body", request.body));
  BOOST_OUTCOME_TRY(started_at, base::CheckWallMillis(wire.started_at(), "started_at"));
  request.started_at = started_at;
  BOOST_OUTCOME_TRY(deadline, base::CheckWallMillis(wire.deadline(), "deadline"));
  request.deadline = deadline;
  return request;
}

ClaimReply ToWire(const claims::ClaimReply& reply) {
  ClaimReply wire;
  wire.set_replica(reply.replica);
  wire.set_incarnation(reply.incarnation);
  WriteKnown(reply.known, wire);
  wire.set_attempt(ToBytes(reply.attempt));
  wire.set_status(static_cast<std::uint32_t>(reply.status));
  wire.set_holder(ToBytes(reply.holder));
  wire.set_holder_body(ToBytes(reply.holder_body));
  wire.set_holder_deadline(reply.holder_deadline);
  wire.set_answer(reply.answer);
  return wire;
}

Result<claims::ClaimReply> FromWire(const ClaimReply& wire) {
  claims::ClaimReply reply;
  BOOST_OUTCOME_TRY(replica, ReadReplica(wire.replica()));
  reply.replica = replica;
  reply.incarnation = wire.incarnation();
  reply.known = ReadKnown(wire);
  BOOST_OUTCOME_TRY(ReadBytes(wire.attempt(), "attempt", reply.attempt));
  if (wire.status() > static_cast<std::uint32_t>(claims::ClaimStatus::kReleased)) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "status: unknown value " + std::to_string(wire.status()));
  }
  reply.status = static_cast<claims::ClaimStatus>(wire.status());
  BOOST_OUTCOME_TRY(ReadBytes(wire.holder(), "holder", reply.holder));
  BOOST_OUTCOME_TRY(ReadBytes(wire.holder_body(), "holder_body", reply.holder_body));
  BOOST_OUTCOME_TRY(holder_deadline,
                    base::CheckWallMillis(wire.holder_deadline(), "holder_deadline"));
  reply.holder_deadline = holder_deadline;
  reply.answer = wire.answer();
  return reply;
}

CompleteRequest ToWire(const claims::CompleteRequest& request) {
  CompleteRequest wire;
  WriteIdentity(request, wire);
  wire.set_body(ToBytes(request.body));
  wire.set_deadline(request.deadline);
  wire.set_answer(request.answer);
  return wire;
}

Result<claims::CompleteRequest> FromWire(const CompleteRequest& wire) {
  claims::CompleteRequest request;
  BOOST_OUTCOME_TRY(ReadIdentity(wire, request));
  BOOST_OUTCOME_TRY(ReadBytes(wire.body(), "body", request.body));
  BOOST_OUTCOME_TRY(deadline, base::CheckWallMillis(wire.deadline(), "deadline"));
  request.deadline = deadline;
  request.answer = wire.answer();
  return request;
}

ReleaseRequest ToWire(const claims::ReleaseRequest& request) {
  ReleaseRequest wire;
  WriteIdentity(request, wire);
  wire.set_refused_at(request.refused_at);
  return wire;
}

Result<claims::ReleaseRequest> FromWire(const ReleaseRequest& wire) {
  claims::ReleaseRequest request;
  BOOST_OUTCOME_TRY(ReadIdentity(wire, request));
  BOOST_OUTCOME_TRY(refused_at, base::CheckWallMillis(wire.refused_at(), "refused_at"));
  request.refused_at = refused_at;
  return request;
}

CopyRequest ToWire(const claims::CopyRequest& request) {
  CopyRequest wire;
  wire.set_replica(request.replica);
  wire.set_incarnation(request.incarnation);
  wire.set_copy_id(request.copy_id);
  wire.set_page(request.page);
  return wire;
}

Result<claims::CopyRequest> FromWire(const CopyRequest& wire) {
  BOOST_OUTCOME_TRY(replica, ReadReplica(wire.replica()));
  return claims::CopyRequest{replica, wire.incarnation(), wire.copy_id(), wire.page()};
}

CopyReply ToWire(const claims::CopyPage& page) {
  CopyReply wire;
  wire.set_source(page.source);
  wire.set_source_incarnation(page.source_incarnation);
  WriteKnown(page.known, wire);
  wire.set_for_incarnation(page.for_incarnation);
  wire.set_copy_id(page.copy_id);
  wire.set_number(page.number);
  wire.set_restart(page.restart);
  wire.set_last(page.last);
  for (const auto& record : page.records) *wire.add_records() = ToWire(record);
  return wire;
}

Result<claims::CopyPage> FromWire(const CopyReply& wire) {
  claims::CopyPage page;
  BOOST_OUTCOME_TRY(source, ReadReplica(wire.source()));
  page.source = source;
  page.source_incarnation = wire.source_incarnation();
  page.known = ReadKnown(wire);
  page.for_incarnation = wire.for_incarnation();
  page.copy_id = wire.copy_id();
  page.number = wire.number();
  page.restart = wire.restart();
  page.last = wire.last();
  for (const auto& record : wire.records()) {
    BOOST_OUTCOME_TRY(decoded, FromWire(record));
    page.records.push_back(std::move(decoded));
  }
  return page;
}

}  // namespace wagtailpick::rpc
