#include "entry/control_link.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "bundle/parse_bundle.h"
#include "bundle/signed_bundle.h"
#include "logging/log.h"
#include "rpc/stamp.h"

namespace wagtailpick::entry {
namespace {

constexpr base::Duration kRenewInterval = std::chrono::milliseconds(250);
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(600);
constexpr std::size_t kRingCapacity = 256;

Member ToMember(const rpc::Member& member) {
  return {member.vm(),           member.session_epoch(), member.region(),  member.data_centre(),
          member.http_address(), member.rpc_address(),   member.draining()};
}

}  // namespace

struct ControlLink::State : std::enable_shared_from_this<State> {
  State(const EntryOptions& entry_options, const ProcessContext& process, Session& own_session)
      : options(entry_options), context(process), session(own_session), loop(kRingCapacity) {
    for (const auto& address : options.control) clients.push_back(rpc::Client::Create(address));
  }

  void Renew() {
    rpc::RenewRequest request;
    const ViewPtr view = session.view();
    request.set_vm(options.vm);
    request.set_incarnation(incarnation);
    request.set_region(options.region);
    request.set_data_centre(options.data_centre);
    request.set_http_address(base::ToString(options.http_endpoint));
    request.set_rpc_address(options.rpc_address);
    request.set_draining(draining);
    request.set_bundle_version(view == nullptr ? 0 : view->bundle.version);
    request.set_view_version(view == nullptr ? 0 : view->version);
    prepare(request);
    rpc::AddStamp(context.events, request);
    const base::MonotonicTime sent = base::MonotonicNow();
    leader().Renew(request, kCallTimeout,
                   [self = shared_from_this(), sent](base::Result<rpc::RenewReply> reply) {
                     self->loop.TryPost([self, sent, reply = std::move(reply)] {
                       self->HandleReply(sent, reply);
                     });
                   });
  }

  void HandleReply(base::MonotonicTime sent, const base::Result<rpc::RenewReply>& reply) {
    if (!reply) {
      NextReplica();
      return;
    }
    const auto& value = reply.value();
    rpc::ApplyStamp(context.events, value);
    if (!value.granted()) {
      FollowLeader(value.leader_address());
      return;
    }
    auto view = UpdateView(value);
    if (!view) {
      logging::Write(logging::Level::kError, "bundle_unusable", view.error().message);
      return;
    }
    session.ApplyRenewal(value.session_epoch(), sent, std::move(view.value()));
    on_renewed(value, sent);
  }

  /// Returns the updated view, or null if the reply changes nothing. Fails if the signed bundle
  /// cannot be decoded, parsed or turned into a place directory.
  base::Result<ViewPtr> UpdateView(const rpc::RenewReply& reply) {
    const ViewPtr current = session.view();
    const bool has_bundle = !reply.signed_bundle().empty();
    if (!has_bundle && !reply.has_view()) return ViewPtr();
    auto next = current == nullptr ? std::make_shared<View>() : std::make_shared<View>(*current);
    if (has_bundle) {
      BOOST_OUTCOME_TRY(signed_bundle, bundle::DecodeSignedBundle(reply.signed_bundle()));
      BOOST_OUTCOME_TRY(parsed, bundle::ParseBundle(signed_bundle.payload));
      // Replies can arrive out of order; an older bundle must not replace a newer one.
      if (parsed.version > next->bundle.version) {
        BOOST_OUTCOME_TRY(directory, PlaceDirectory::Build(parsed));
        next->bundle = std::move(parsed);
        next->bundle_digest = signed_bundle.Digest();
        next->directory = std::move(directory);
        context.events.Record(base::WallNowMillis(), timeline::EventKind::kBundleInForce,
                              std::to_string(next->bundle.version), next->bundle_digest);
      }
    }
    if (reply.has_view()) ApplyView(reply, *next);
    return ViewPtr(std::move(next));
  }

  static void ApplyView(const rpc::RenewReply& reply, View& view) {
    view.members.clear();
    for (const auto& member : reply.view().members()) view.members.push_back(ToMember(member));
    view.longest_deadlines.clear();
    for (const auto& deadline : reply.view().longest_deadlines()) {
      view.longest_deadlines[deadline.service()] = deadline.deadline_ms();
    }
    view.version = reply.view_version();
  }

  rpc::Client& leader() {
    const std::lock_guard lock(mutex);
    return *clients[leader_index];
  }

  void NextReplica() {
    const std::lock_guard lock(mutex);
    leader_index = (leader_index + 1) % clients.size();
  }

  void FollowLeader(const std::string& address) {
    if (address.empty()) {
      NextReplica();
      return;
    }
    const std::lock_guard lock(mutex);
    const auto found = std::find_if(clients.begin(), clients.end(), [&](const auto& client) {
      return client->address() == address;
    });
    if (found != clients.end()) {
      leader_index = static_cast<std::size_t>(found - clients.begin());
    }
  }

  EntryOptions options;
  ProcessContext context;
  Session& session;
  PrepareHook prepare;
  RenewedHook on_renewed;
  std::vector<std::unique_ptr<rpc::Client>> clients;
  std::mutex mutex;
  std::size_t leader_index = 0;
  std::uint64_t incarnation = static_cast<std::uint64_t>(base::WallNowMillis());
  std::atomic<bool> draining = false;
  base::EventLoop loop;
};

ControlLink::ControlLink(const EntryOptions& options, const ProcessContext& context,
                         Session& session, PrepareHook prepare, RenewedHook on_renewed)
    : state_(std::make_shared<State>(options, context, session)) {
  state_->prepare = std::move(prepare);
  state_->on_renewed = std::move(on_renewed);
}

ControlLink::~ControlLink() { Stop(); }

void ControlLink::Start() {
  state_->loop.Start(kRenewInterval, [state = state_.get()] { state->Renew(); });
}

void ControlLink::Stop() { state_->loop.Stop(); }

void ControlLink::StartDrain() { state_->draining = true; }

void ControlLink::RequestOwnership(const rpc::OwnRequest& request,
                                   rpc::Responder<rpc::OwnReply> done) {
  state_->leader().Own(request, kCallTimeout, std::move(done));
}

void ControlLink::ReleaseOwnership(const rpc::DisownRequest& request) {
  // If the call is lost, the ownership ends with the session.
  state_->leader().Disown(request, kCallTimeout, [](const base::Result<rpc::Empty>&) {});
}

}  // namespace wagtailpick::entry
