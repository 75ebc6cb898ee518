#pragma once

#include <wagtailpick.pb.h>

#include <map>
#include <string>

#include "base/event_loop.h"
#include "entry/control_link.h"
#include "entry/entry_options.h"
#include "entry/owner.h"
#include "entry/peer_set.h"
#include "entry/session.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// Brings each upstream's announcements to its owner, and finds an owner for new upstreams. Used on
/// the dispatcher's loop only.
class AnnouncementRouter {
 public:
  AnnouncementRouter(const EntryOptions& options, const Session& session, Owner& owner,
                     PeerSet& peers, ControlLink& control, base::EventLoop& loop);

  /// Takes in an announcement from an upstream or from another entry. `done` gets the owner's name,
  /// or an error when the owner can't be reached.
  void Announce(const rpc::AnnounceRequest& announcement,
                const rpc::Responder<rpc::AnnounceReply>& done);

  /// Remembers who owns what, from control's newest view.
  void ApplyOwnerships(const rpc::ClusterView& view);

 private:
  void RequestOwnership(const membership::Announcement& announcement,
                        const rpc::Responder<rpc::AnnounceReply>& done);
  std::string KnownOwner(const std::string& service, const std::string& address) const;
  std::string PreferredOwner(const rpc::AnnounceRequest& announcement) const;

  EntryOptions options_;
  const Session& session_;
  Owner& owner_;
  PeerSet& peers_;
  ControlLink& control_;
  base::EventLoop& loop_;
  std::map<std::pair<std::string, std::string>, std::string> owners_;
};

}  // namespace wagtailpick::entry
