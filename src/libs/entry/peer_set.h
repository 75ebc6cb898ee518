#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/view.h"
#include "rpc/client.h"

namespace wagtailpick::entry {

/// Connections to the other entries. Used on the dispatcher's loop only.
class PeerSet {
 public:
  explicit PeerSet(std::string own_vm);

  /// Adds new members and drops those that are gone. Returns the new ones.
  std::vector<std::shared_ptr<rpc::Client>> Update(const View& view);

  /// Returns the connection to `vm`, or null when it isn't a member.
  std::shared_ptr<rpc::Client> Find(const std::string& vm) const;

  const std::map<std::string, std::shared_ptr<rpc::Client>>& all() const { return clients_; }

 private:
  std::string own_vm_;
  std::map<std::string, std::shared_ptr<rpc::Client>> clients_;
};

}  // namespace wagtailpick::entry
