#include "throughput_bench.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "consensus/replica.h"

namespace wagtailpick::consensus {
namespace {

constexpr std::size_t kProposals = 100'000;
constexpr std::size_t kProposalBytes = 200;
constexpr std::uint64_t kSnapshotEvery = 10'000;

std::size_t VarintSize(std::uint64_t value) {
  std::size_t size = 1;
  while (value >>= 7U) ++size;
  return size;
}

std::size_t FieldSize(std::uint64_t value) { return value == 0 ? 0 : 1 + VarintSize(value); }

std::size_t FieldSize(const std::string& text) {
  return text.empty() ? 0 : 1 + VarintSize(text.size()) + text.size();
}

// Returns the encoded size in bytes with one-byte tags, lengths and integers as base-128 varints,
// and default values left out.
std::size_t EncodedSize(const Message& message) {
  std::size_t size = FieldSize(static_cast<std::uint64_t>(message.kind)) + FieldSize(message.term) +
                     FieldSize(message.log_index) + FieldSize(message.log_term) +
                     FieldSize(message.commit) + FieldSize(message.match) +
                     FieldSize(static_cast<std::uint64_t>(message.sent_at)) +
                     (message.accepted ? 2 : 0);
  for (const ReplicaKey* key : {&message.from, &message.to}) {
    size += 2 + FieldSize(key->name) + FieldSize(key->incarnation);
  }
  for (const Entry& entry : message.entries) {
    const std::size_t fields = FieldSize(entry.index) + FieldSize(entry.term) +
                               FieldSize(static_cast<std::uint64_t>(entry.kind)) +
                               FieldSize(entry.data);
    size += 1 + VarintSize(fields) + fields;
  }
  return size;
}

/// Three replicas whose messages arrive and whose syncs finish immediately.
class Group {
 public:
  Group() {
    const std::vector<std::string> names{"a", "b", "c"};
    for (std::size_t i = 0; i < names.size(); ++i) {
      Options options;
      options.self = {names[i], 1};
      // The first replica's election timeout is the shortest, so that it leads.
      options.random = [i] { return std::uint64_t{i * 100'000}; };
      replicas_.push_back(
          Replica::Create(std::move(options), Replica::InitialState(names), now_).value());
    }
    while (!leader().HasLease(now_)) Advance();
  }

  Replica& leader() { return replicas_[0]; }

  void Run(std::size_t batch) {
    for (std::size_t i = 0; i < batch; ++i) {
      if (!leader().Propose(std::string(kProposalBytes, 'x'), now_)) std::abort();
    }
    Exchange();
  }

  void Advance() {
    now_ += std::chrono::milliseconds(10);
    for (Replica& replica : replicas_) replica.Tick(now_);
    Exchange();
  }

  std::size_t bytes() const { return bytes_; }
  std::size_t syncs() const { return syncs_; }

 private:
  // Handles outputs until no replica has any left.
  void Exchange() {
    for (bool busy = true; busy;) {
      busy = false;
      for (Replica& replica : replicas_) busy = ProcessOutput(replica) || busy;
    }
  }

  bool ProcessOutput(Replica& replica) {
    const Output output = replica.ConsumeOutput();
    for (const Message& message : output.messages) {
      bytes_ += EncodedSize(message);
      replicas_[static_cast<std::size_t>(message.to.name[0] - 'a')].Step(message, now_);
    }
    if (!output.sync.empty()) {
      ++syncs_;
      replica.Synced(output.sync.id, now_);
    }
    const std::uint64_t index = output.committed.empty() ? 0 : output.committed.back().index;
    if (index >= replica.snapshot_index() + kSnapshotEvery) {
      if (!replica.TakeSnapshot(index, {})) std::abort();
    }
    return !output.messages.empty() || !output.sync.empty();
  }

  base::MonotonicTime now_{base::Duration(std::chrono::seconds(1))};
  std::vector<Replica> replicas_;
  std::size_t bytes_ = 0;
  std::size_t syncs_ = 0;
};

}  // namespace

void PrintThroughput() {
  std::printf("three replicas on one thread, %zu proposals of %zu bytes\n", kProposals,
              kProposalBytes);
  std::printf("  %8s %14s %10s %30s %16s\n", "batch", "proposals/s", "ratio",
              "bytes/proposal/follower", "syncs/proposal");
  double single_rate = 0;
  for (const std::size_t batch : std::array<std::size_t, 4>{1, 10, 100, 1'000}) {
    Group group;
    const std::size_t bytes = group.bytes();
    const std::size_t syncs = group.syncs();
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t done = 0; done < kProposals; done += batch) group.Run(batch);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    const double rate = kProposals / took.count();
    if (batch == 1) single_rate = rate;
    std::printf("  %8zu %14.0f %10.2f %30.1f %16.3f\n", batch, rate, rate / single_rate,
                static_cast<double>(group.bytes() - bytes) / kProposals / 2,
                static_cast<double>(group.syncs() - syncs) / kProposals);
  }
}

}  // namespace wagtailpick::consensus
