#include "single_replica.h"

#include <utility>

namespace wagtailpick::consensus::testing {

Options MakeOptions(const std::string& name) {
  Options options;
  options.self = {name, 1};
  options.peers = {"a", "b", "c"};
  // Makes all election timeouts 1,400 ms.
  options.random = [] { return std::uint64_t{400'000}; };
  return options;
}

base::Result<Replica> CreateAt(const std::string& name, const RecoveredState& state,
                               base::MonotonicTime now) {
  return Replica::Create(MakeOptions(name), state, now);
}

SingleReplica::SingleReplica(const std::string& name, RecoveredState state)
    : name_(name), disk_(std::move(state)), replica_(CreateAt(name, disk_.state(), now_).value()) {}

void SingleReplica::Advance(std::int64_t millis) {
  now_ += std::chrono::milliseconds(millis);
  replica_.Tick(now_);
}

std::vector<Message> SingleReplica::DrainOutputs() {
  std::vector<Message> sent;
  for (;;) {
    Output output = replica_.ConsumeOutput();
    for (Message& message : output.messages) sent.push_back(std::move(message));
    for (Entry& entry : output.committed) committed_.push_back(std::move(entry));
    if (output.sync.empty()) return sent;
    const std::uint64_t id = output.sync.id;
    disk_.Write(std::move(output.sync));
    disk_.Sync(id);
    replica_.Synced(id, now_);
  }
}

void SingleReplica::Restart() { replica_ = CreateAt(name_, disk_.state(), now_).value(); }

void SingleReplica::BecomeLeader() {
  Advance(1'400);
  DrainOutputs();
  Message reply = From("b", MessageKind::kPreVoteReply);
  reply.accepted = true;
  ++reply.term;
  Step(reply);
  DrainOutputs();
  Message vote = From("b", MessageKind::kVoteReply);
  vote.accepted = true;
  Step(vote);
  DrainOutputs();
}

Message SingleReplica::From(const std::string& sender, MessageKind kind) const {
  Message message;
  message.kind = kind;
  message.from = {sender, 1};
  message.to = {name_, 1};
  message.term = replica_.term();
  return message;
}

Message SingleReplica::AppendFrom(const std::string& sender, std::uint64_t log_index,
                                  std::uint64_t log_term, std::size_t entries) const {
  Message message = From(sender, MessageKind::kAppend);
  message.log_index = log_index;
  message.log_term = log_term;
  for (std::size_t i = 1; i <= entries; ++i) {
    message.entries.push_back({log_index + i, message.term, EntryKind::kData, "data"});
  }
  return message;
}

Message SingleReplica::AckFrom(const std::string& sender, std::uint64_t match,
                               base::MonotonicTime sent_at) const {
  Message message = From(sender, MessageKind::kAppendReply);
  message.accepted = true;
  message.log_index = message.match = match;
  message.sent_at = sent_at.time_since_epoch().count();
  return message;
}

}  // namespace wagtailpick::consensus::testing
