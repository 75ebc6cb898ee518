#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/view.h"
#include "rpc/client.h"

namespace wagtailpick::entry {

/// RPC clients of the other entries. Used on the dispatcher's loop only.
class PeerSet {
 public:
  explicit PeerSet(std::string own_vm);

  /// Creates clients for new members and members with a new address, and removes those of former
  /// members. Returns the clients that were created.
  std::vector<std::shared_ptr<rpc::Client>> Update(const View& view);

  /// Returns the client for the entry on `vm`, or null if that is not a member.
  std::shared_ptr<rpc::Client> Find(const std::string& vm) const;

  const std::map<std::string, std::shared_ptr<rpc::Client>>& all() const { return clients_; }

 private:
  std::string own_vm_;
  std::map<std::string, std::shared_ptr<rpc::Client>> clients_;
};

}  // namespace wagtailpick::entry
