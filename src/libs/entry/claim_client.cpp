#include "entry/claim_client.h"

#include <sodium.h>

#include <algorithm>
#include <utility>

#include "base/monotonic_time.h"
#include "rpc/claim_codec.h"

namespace wagtailpick::entry {
namespace {

/// A round trip between regions (70 ms) and a disk sync, with a margin for a slow replica.
constexpr base::Duration kRoundTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kCompletionTimeout = std::chrono::seconds(2);

}  // namespace

struct ClaimClient::Round {
  Round(std::size_t replicas, const claims::ClaimRequest& own, const claims::Incarnations& known)
      : request(own), round(replicas, own, known) {}

  claims::ClaimRequest request;
  claims::ClaimRound round;
  DecisionCallback done;
};

ClaimClient::ClaimClient(const std::vector<std::string>& replicas, base::EventLoop& loop)
    : loop_(loop) {
  for (const auto& address : replicas) replicas_.push_back(rpc::Client::Create(address));
}

void ClaimClient::Claim(const claims::ClaimRequest& request, DecisionCallback done) {
  auto round = std::make_shared<Round>(replicas_.size(), request, known_incarnations_);
  round->done = std::move(done);
  const auto wire = rpc::ToWire(request);
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    const auto index = static_cast<claims::ReplicaIndex>(i);
    replicas_[i]->Claim(wire, kRoundTimeout,
                        [this, round, index](base::Result<rpc::ClaimReply> reply) {
                          loop_.Post([this, round, index, reply = std::move(reply)] {
                            const auto now = base::WallNowMillis();
                            std::optional<claims::Decision> decision;
                            if (reply) {
                              const auto value = rpc::FromWire(reply.value());
                              decision = value ? round->round.OnReply(value.value(), now)
                                               : round->round.OnLost(index, now);
                            } else {
                              decision = round->round.OnLost(index, now);
                            }
                            if (decision) FinishRound(round, *decision);
                          });
                        });
  }
}

void ClaimClient::FinishRound(const std::shared_ptr<Round>& round,
                              const claims::Decision& decision) {
  known_incarnations_.Merge(round->round.known());
  if (decision.release_own_attempt) {
    Release({round->request.table, round->request.key, round->request.attempt, 0});
  }
  round->done(decision);
}

void ClaimClient::Complete(const claims::CompleteRequest& request) {
  const auto wire = rpc::ToWire(request);
  for (const auto& replica : replicas_) {
    replica->Complete(wire, kCompletionTimeout, [](const base::Result<rpc::Empty>&) {});
  }
}

void ClaimClient::Release(const claims::ReleaseRequest& request) {
  const auto wire = rpc::ToWire(request);
  for (const auto& replica : replicas_) {
    replica->Release(wire, kCompletionTimeout, [](const base::Result<rpc::Empty>&) {});
  }
}

claims::AttemptId NewAttempt() {
  claims::AttemptId attempt{};
  randombytes_buf(attempt.data(), attempt.size());
  return attempt;
}

}  // namespace wagtailpick::entry
