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

/// Routes the announcements of each upstream to its owner and assigns an owner to new upstreams.
/// Used on the dispatcher's loop only.
class AnnouncementRouter {
 public:
  AnnouncementRouter(const EntryOptions& options, const Session& session, Owner& owner,
                     PeerSet& peers, ControlLink& control, base::EventLoop& loop);

  /// Processes an announcement received from an upstream or another entry: applies it if this entry
  /// owns the upstream, otherwise forwards it or requests the ownership. `done` gets the owner's
  /// name, `kInvalidArgument` for an invalid announcement, `kUnavailable` if this entry has no
  /// lease, or the error of the call to the owner or to control.
  void Announce(const rpc::AnnounceRequest& announcement,
                const rpc::Responder<rpc::AnnounceReply>& done);

  /// Replaces the known owners by those of control's newest view.
  void ApplyOwnerships(const rpc::ClusterView& view);

 private:
  void RequestOwnership(const membership::Announcement& announcement,
                        const rpc::Responder<rpc::AnnounceReply>& done);
  /// Returns the other entry that owns the upstream by the last view; empty if there is none.
  std::string KnownOwner(const std::string& service, const std::string& address) const;
  /// Returns the entry that should own a new upstream: the nearest one, by rendezvous hashing among
  /// those equally near.
  std::string PreferredOwner(const rpc::AnnounceRequest& announcement) const;

  EntryOptions options_;
  const Session& session_;
  Owner& owner_;
  PeerSet& peers_;
  ControlLink& control_;
  base::EventLoop& loop_;
  /// Owner's VM by service and address.
  std::map<std::pair<std::string, std::string>, std::string> owners_;
};

}  // namespace wagtailpick::entry
