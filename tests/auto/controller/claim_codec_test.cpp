#include "rpc/claim_codec.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

/// Wraps to the number of replica 1 in eight bits.
constexpr std::uint32_t kWrapsToOne = 257;

rpc::ClaimReply ReplyOf(std::uint32_t replica) {
  auto wire = rpc::ToWire(claims::ClaimReply{});
  wire.set_replica(replica);
  return wire;
}

}  // namespace

// Guards against a reply, a record or a copy that counts as one of another replica: the number of
// its sender was cut to eight bits.
Test(claim_codec, refuses_replicas_that_do_not_exist) {
  cr_expect(rpc::FromWire(ReplyOf(4)).has_value());
  cr_expect(!rpc::FromWire(ReplyOf(claims::kMaxReplicas)));
  cr_expect(!rpc::FromWire(ReplyOf(kWrapsToOne)));
  auto record = rpc::ToWire(claims::Record{});
  record.set_replica(kWrapsToOne);
  cr_expect(!rpc::FromWire(record));
  auto page = rpc::ToWire(claims::CopyPage{});
  page.set_source(kWrapsToOne);
  cr_expect(!rpc::FromWire(page));
  rpc::CopyRequest request;
  request.set_replica(kWrapsToOne);
  cr_expect(!rpc::FromWire(request));
}

// Guards against an incarnation that counts for another replica, as its position was cut to eight
// bits: votes of that replica would no longer count.
Test(claim_codec, ignores_incarnations_of_replicas_that_do_not_exist) {
  auto wire = ReplyOf(1);
  wire.clear_known();
  for (std::uint32_t i = 0; i < kWrapsToOne; ++i) wire.add_known(0);
  wire.add_known(99);
  const auto reply = rpc::FromWire(wire);
  cr_assert(reply.has_value());
  cr_expect(reply.value().known == claims::Incarnations());
}
