#include "entry/peer_set.h"

#include <utility>

namespace wagtailpick::entry {

PeerSet::PeerSet(std::string own_vm) : own_vm_(std::move(own_vm)) {}

std::vector<std::shared_ptr<rpc::Client>> PeerSet::Update(const View& view) {
  std::vector<std::shared_ptr<rpc::Client>> added;
  std::map<std::string, std::shared_ptr<rpc::Client>> next;
  for (const auto& member : view.members) {
    if (member.vm == own_vm_) continue;
    auto known = Find(member.vm);
    const bool is_same = known != nullptr && known->address() == member.rpc_address;
    if (!is_same) {
      known = rpc::Client::Create(member.rpc_address);
      added.push_back(known);
    }
    next[member.vm] = std::move(known);
  }
  clients_ = std::move(next);
  return added;
}

std::shared_ptr<rpc::Client> PeerSet::Find(const std::string& vm) const {
  const auto found = clients_.find(vm);
  return found == clients_.end() ? nullptr : found->second;
}

}  // namespace wagtailpick::entry
