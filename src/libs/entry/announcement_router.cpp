#include "entry/announcement_router.h"

#include <utility>

#include "base/random_id.h"

namespace wagtailpick::entry {
namespace {

constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxHops = 2;

base::Result<membership::Announcement> ToAnnouncement(const rpc::AnnounceRequest& wire) {
  membership::AnnouncementFields fields;
  fields.service = wire.service();
  fields.address = wire.address();
  fields.place = wire.data_centre();
  fields.state = wire.state();
  fields.incarnation = static_cast<std::int64_t>(wire.incarnation());
  fields.sequence = static_cast<std::int64_t>(wire.sequence());
  fields.slots = wire.slots();
  fields.connections = wire.connections();
  fields.load = wire.load();
  fields.sent_unix_ms = wire.sent_unix_ms();
  return membership::Announcement::Create(std::move(fields));
}

}  // namespace

AnnouncementRouter::AnnouncementRouter(const EntryOptions& options, const Session& session,
                                       Owner& owner, PeerSet& peers, ControlLink& control,
                                       base::EventLoop& loop)
    : options_(options),
      session_(session),
      owner_(owner),
      peers_(peers),
      control_(control),
      loop_(loop) {}

void AnnouncementRouter::Announce(const rpc::AnnounceRequest& request,
                                  const rpc::Responder<rpc::AnnounceReply>& done) {
  auto announcement = ToAnnouncement(request);
  if (!announcement) return done(boost::outcome_v2::failure(announcement.error()));
  if (!session_.IsActive(base::MonotonicNow())) {
    return done(base::Fail(base::ErrorCode::kUnavailable, "this entry has no lease"));
  }
  if (owner_.Owns(request.address())) {
    owner_.ApplyAnnouncement(announcement.value());
    rpc::AnnounceReply reply;
    reply.set_owner_vm(options_.vm);
    return done(std::move(reply));
  }
  std::string owner = KnownOwner(request.service(), request.address());
  if (owner.empty()) owner = PreferredOwner(request);
  const auto peer = peers_.Find(owner);
  if (peer == nullptr || request.hops() >= kMaxHops) {
    return RequestOwnership(announcement.value(), done);
  }
  rpc::AnnounceRequest forwarded = request;
  forwarded.set_hops(request.hops() + 1);
  peer->Announce(forwarded, kPeerTimeout, done);
}

std::string AnnouncementRouter::KnownOwner(const std::string& service,
                                           const std::string& address) const {
  const auto found = owners_.find({service, address});
  if (found == owners_.end() || found->second == options_.vm) return {};
  return session_.view()->FindMember(found->second) == nullptr ? std::string() : found->second;
}

std::string AnnouncementRouter::PreferredOwner(const rpc::AnnounceRequest& announcement) const {
  const ViewPtr view = session_.view();
  const std::string region = view->bundle.RegionOf(announcement.data_centre());
  std::string best;
  std::pair<int, std::string> best_rank;
  for (const auto& member : view->members) {
    if (member.draining) continue;
    int distance = member.region == region ? 1 : 2;
    if (member.data_centre == announcement.data_centre()) distance = 0;
    // Rendezvous hashing: all entries choose the same owner without further messages.
    std::pair<int, std::string> rank{distance,
                                     base::DigestHex(member.vm + "\n" + announcement.address())};
    if (!best.empty() && best_rank <= rank) continue;
    best = member.vm;
    best_rank = std::move(rank);
  }
  return best;
}

void AnnouncementRouter::RequestOwnership(const membership::Announcement& announcement,
                                          const rpc::Responder<rpc::AnnounceReply>& done) {
  rpc::OwnRequest request;
  request.set_vm(options_.vm);
  request.set_session_epoch(session_.lease().epoch());
  request.set_service(announcement.service());
  request.set_address(announcement.address());
  request.set_incarnation(announcement.incarnation());
  control_.RequestOwnership(request, [this, announcement, done, epoch = request.session_epoch()](
                                         base::Result<rpc::OwnReply> reply) {
    if (!reply) return done(boost::outcome_v2::failure(reply.error()));
    const rpc::OwnReply& value = reply.value();
    rpc::AnnounceReply answer;
    answer.set_owner_vm(value.owner_vm());
    if (value.granted()) {
      loop_.Post([this, announcement, epoch, grant = value] {
        // A late reply may grant an ownership to an earlier session, with which it has ended.
        if (session_.lease().epoch() != epoch) return;
        owner_.ApplyGrant(announcement, grant.epoch(), grant.quarantine());
      });
    }
    done(std::move(answer));
  });
}

void AnnouncementRouter::ApplyOwnerships(const rpc::ClusterView& view) {
  owners_.clear();
  for (const auto& ownership : view.ownerships()) {
    owners_[{ownership.service(), ownership.address()}] = ownership.owner_vm();
  }
}

}  // namespace wagtailpick::entry
