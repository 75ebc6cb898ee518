#include "controller/controller.h"

#include <map>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "bundle/parse_bundle.h"
#include "bundle/signed_bundle.h"
#include "controller/bundle_file.h"
#include "rpc/client.h"

namespace wagtailpick::controller {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kSessionLease = std::chrono::seconds(2);
constexpr base::Duration kForwardTimeout = std::chrono::seconds(2);
constexpr std::size_t kRingCapacity = 16'384;
constexpr const char* kBundleFile = "bundle";

struct SessionState {
  rpc::Member member;
  std::string incarnation;
  std::uint64_t bundle_version = 0;
  base::MonotonicTime renewed;
};

}  // namespace

// The replica with id 1 leads; the others pass requests on to it.
struct Controller::State {
  State(const ControllerOptions& controller_options, metrics::Registry& registry,
        timeline::EventRing& ring)
      : options(controller_options), metrics(registry), events(ring), loop(kRingCapacity) {
    if (!IsLeader()) leader = rpc::Client::Create(options.replicas.front());
  }

  bool IsLeader() const { return options.replica_id == 1; }

  base::Result<void> Recover() {
    BOOST_OUTCOME_TRY(content, ReadFile(options.data_folder + "/" + kBundleFile));
    if (content.empty()) return base::Ok();
    BOOST_OUTCOME_TRY(stored, bundle::DecodeSignedBundle(content));
    BOOST_OUTCOME_TRY(parsed, bundle::ParseBundle(stored.payload));
    signed_bytes = content;
    current = std::move(parsed);
    digest = stored.Digest();
    return base::Ok();
  }

  rpc::SubmitReply Submit(const rpc::SubmitRequest& request) {
    rpc::SubmitReply reply;
    const auto checked = Check(request.signed_bundle());
    if (!checked) {
      reply.set_outcome(rpc::SUBMIT_OUTCOME_INVALID);
      reply.set_message(checked.error().message);
      return reply;
    }
    const auto& [stored, parsed] = checked.value();
    reply.set_version(parsed.version);
    reply.set_outcome(Accept(stored, parsed, request.signed_bundle(), reply));
    reply.set_current_version(current.version);
    return reply;
  }

  struct Checked {
    bundle::SignedBundle stored;
    bundle::Bundle parsed;
  };

  base::Result<Checked> Check(const std::string& bytes) const {
    BOOST_OUTCOME_TRY(stored, bundle::DecodeSignedBundle(bytes));
    BOOST_OUTCOME_TRY(bundle::Verify(stored, options.operator_keys));
    BOOST_OUTCOME_TRY(parsed, bundle::ParseBundle(stored.payload));
    return Checked{std::move(stored), std::move(parsed)};
  }

  rpc::SubmitOutcome Accept(const bundle::SignedBundle& stored, const bundle::Bundle& parsed,
                            const std::string& bytes, rpc::SubmitReply& reply) {
    reply.set_digest(digest);
    if (parsed.version < current.version) return rpc::SUBMIT_OUTCOME_SUPERSEDED;
    if (parsed.version == current.version) {
      return stored.Digest() == digest ? rpc::SUBMIT_OUTCOME_ALREADY_ACCEPTED
                                       : rpc::SUBMIT_OUTCOME_CONFLICT;
    }
    const auto written = ReplaceFile(options.data_folder, kBundleFile, bytes);
    if (!written) {
      reply.set_message(written.error().message);
      return rpc::SUBMIT_OUTCOME_UNAVAILABLE;
    }
    signed_bytes = bytes;
    current = parsed;
    digest = stored.Digest();
    reply.set_digest(digest);
    events.Record(base::WallNowMillis(), timeline::EventKind::kBundleAccepted,
                  std::to_string(current.version), digest);
    return rpc::SUBMIT_OUTCOME_ACCEPTED;
  }

  rpc::RenewReply Renew(const rpc::RenewRequest& request) {
    rpc::RenewReply reply;
    reply.set_leader_address(options.replicas.front());
    if (!IsLeader()) return reply;
    auto& session = sessions[request.vm()];
    const bool is_new = session.incarnation != request.incarnation();
    const bool changed = is_new || session.member.draining() != request.draining();
    if (is_new) session.member.set_session_epoch(++last_epoch);
    session.incarnation = request.incarnation();
    session.renewed = base::MonotonicNow();
    session.bundle_version = request.bundle_version();
    auto& member = session.member;
    member.set_vm(request.vm());
    member.set_region(request.region());
    member.set_data_centre(request.data_centre());
    member.set_http_address(request.http_address());
    member.set_rpc_address(request.rpc_address());
    member.set_draining(request.draining());
    if (changed) ++view_version;
    reply.set_granted(true);
    reply.set_session_epoch(member.session_epoch());
    reply.set_lease_ms(2'000);
    reply.set_bundle_version(current.version);
    reply.set_view_version(view_version);
    if (request.bundle_version() < current.version) reply.set_signed_bundle(signed_bytes);
    if (request.view_version() != view_version) {
      for (const auto& [vm, state] : sessions) *reply.mutable_view()->add_members() = state.member;
    }
    return reply;
  }

  rpc::OwnReply Own(const rpc::OwnRequest& request) {
    rpc::OwnReply reply;
    if (!IsLeader()) return reply;
    const std::string key = request.service() + "\n" + request.address();
    const auto found = owners.find(key);
    const bool has_owner =
        found != owners.end() && found->second != request.vm() && sessions.contains(found->second);
    reply.set_granted(!has_owner);
    reply.set_owner_vm(has_owner ? found->second : request.vm());
    reply.set_epoch(++last_epoch);
    if (!has_owner) {
      // The owner before may still have requests running.
      if (found != owners.end()) reply.set_quarantine_ms(10'100);
      owners[key] = request.vm();
    }
    return reply;
  }

  rpc::StatusReply Status() const {
    rpc::StatusReply reply;
    reply.set_current(IsLeader());
    reply.set_replica(options.vm);
    reply.set_leader(options.replicas.front());
    reply.set_bundle_version(current.version);
    reply.set_bundle_digest(digest);
    for (const auto& [vm, state] : sessions) {
      auto* status = reply.add_sessions();
      status->set_vm(vm);
      status->set_data_centre(state.member.data_centre());
      status->set_bundle_version(state.bundle_version);
      status->set_lease_held(base::MonotonicNow() - state.renewed < kSessionLease);
      status->set_draining(state.member.draining());
    }
    return reply;
  }

  void Tick() {
    const auto now = base::MonotonicNow();
    const auto expired = std::erase_if(sessions, [&](const auto& item) {
      return now - item.second.renewed > kSessionLease * 102 / 100;
    });
    if (expired > 0) ++view_version;
  }

  ControllerOptions options;
  metrics::Registry& metrics;
  timeline::EventRing& events;
  base::EventLoop loop;
  std::unique_ptr<rpc::Client> leader;
  std::string signed_bytes;
  bundle::Bundle current;
  std::string digest;
  std::map<std::string, SessionState> sessions;
  std::map<std::string, std::string> owners;
  std::uint64_t last_epoch = 0;
  std::uint64_t view_version = 1;
};

Controller::Controller(std::unique_ptr<State> state) : state_(std::move(state)) {}

Controller::~Controller() { state_->loop.Stop(); }

base::Result<std::unique_ptr<Controller>> Controller::Start(const ControllerOptions& options,
                                                            metrics::Registry& metrics,
                                                            timeline::EventRing& events) {
  auto state = std::make_unique<State>(options, metrics, events);
  BOOST_OUTCOME_TRY(state->Recover());
  state->loop.Start(kTickInterval, [raw = state.get()] { raw->Tick(); });
  return std::unique_ptr<Controller>(new Controller(std::move(state)));
}

rpc::ControlHandlers Controller::Handlers() {
  rpc::ControlHandlers handlers;
  auto* state = state_.get();
  handlers.submit = [state](const rpc::SubmitRequest& request, auto done) {
    if (!state->IsLeader()) return state->leader->Submit(request, kForwardTimeout, done);
    state->loop.TryPost([state, request, done] { done(state->Submit(request)); });
  };
  handlers.status = [state](const rpc::StatusRequest& request, auto done) {
    if (!state->IsLeader()) return state->leader->Status(request, kForwardTimeout, done);
    state->loop.TryPost([state, done] { done(state->Status()); });
  };
  handlers.renew = [state](const rpc::RenewRequest& request, auto done) {
    state->loop.TryPost([state, request, done] { done(state->Renew(request)); });
  };
  handlers.own = [state](const rpc::OwnRequest& request, auto done) {
    state->loop.TryPost([state, request, done] { done(state->Own(request)); });
  };
  return handlers;
}

}  // namespace wagtailpick::controller
