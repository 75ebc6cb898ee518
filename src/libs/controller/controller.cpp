#include "controller/controller.h"

#include <utility>

#include "base/event_loop.h"
#include "controller/claim_service.h"
#include "controller/control_service.h"
#include "replica/replica_disk.h"

namespace wagtailpick::controller {
namespace {

constexpr base::Duration kLogTick = std::chrono::milliseconds(20);
constexpr base::Duration kClaimTick = std::chrono::milliseconds(200);
constexpr std::size_t kRingCapacity = 16'384;

/// Returns a handler that runs `method` of `service` on `loop`. It fails with `kLimitExceeded` when
/// the loop's queue is full.
template <typename Request, typename Reply, typename Service>
rpc::Handler<Request, Reply> OnLoop(base::EventLoop& loop, Service& service,
                                    void (Service::*method)(const Request&,
                                                            const rpc::Responder<Reply>&)) {
  return [&loop, &service, method](const Request& request, rpc::Responder<Reply> done) {
    const bool queued =
        loop.TryPost([&service, method, request, done] { (service.*method)(request, done); });
    if (!queued) done(base::Fail(base::ErrorCode::kLimitExceeded, "this replica is overloaded"));
  };
}

}  // namespace

struct Controller::State {
  ~State() {
    log_loop.Stop();
    claim_loop.Stop();
  }

  base::EventLoop log_loop{kRingCapacity};
  base::EventLoop claim_loop{kRingCapacity};
  std::unique_ptr<ControlService> control;
  std::unique_ptr<ClaimService> claims;
};

Controller::Controller(std::unique_ptr<State> state) : state_(std::move(state)) {}

Controller::~Controller() = default;

base::Result<void> Controller::InitGroup(const ControllerOptions& options) {
  return replica::ReplicaDisk::InitGroup(
      options.data_folder, options.replicas.at(options.replica_id - 1), options.replicas);
}

base::Result<std::unique_ptr<Controller>> Controller::Start(const ControllerOptions& options,
                                                            timeline::EventRing& events) {
  auto state = std::make_unique<State>();
  // A resolution of one second suffices: a disk cannot be lost and prepared again within a second.
  const auto new_incarnation = static_cast<std::uint64_t>(base::WallNowMillis() / 1'000);
  BOOST_OUTCOME_TRY(
      disk, replica::ReplicaDisk::Open(
                options.data_folder, options.replicas.at(options.replica_id - 1), new_incarnation));
  const RecoveredClaims recovered{disk.ConsumeClaimRecords(), disk.ConsumeClaimOffsets(),
                                  disk.incarnation()};
  BOOST_OUTCOME_TRY(claims, ClaimService::Create(options, disk.ReleaseClaimLog(), recovered,
                                                 state->claim_loop, events));
  state->claims = std::move(claims);
  BOOST_OUTCOME_TRY(control,
                    ControlService::Create(options, std::move(disk), state->log_loop, events));
  state->control = std::move(control);
  state->log_loop.Start(kLogTick, [raw = state->control.get()] { raw->Tick(); });
  state->claim_loop.Start(kClaimTick, [raw = state->claims.get()] { raw->Tick(); });
  return std::unique_ptr<Controller>(new Controller(std::move(state)));
}

rpc::ControlHandlers Controller::Handlers() {
  auto& control = *state_->control;
  auto& claims = *state_->claims;
  auto& log_loop = state_->log_loop;
  auto& claim_loop = state_->claim_loop;
  rpc::ControlHandlers handlers;
  handlers.submit = OnLoop(log_loop, control, &ControlService::Submit);
  handlers.status = OnLoop(log_loop, control, &ControlService::Status);
  handlers.renew = OnLoop(log_loop, control, &ControlService::Renew);
  handlers.own = OnLoop(log_loop, control, &ControlService::Own);
  handlers.disown = OnLoop(log_loop, control, &ControlService::Disown);
  handlers.deliver = [&control, &log_loop](const rpc::ConsensusBatch& batch, auto done) {
    // When the queue is full, the batch is dropped; consensus resends lost messages.
    log_loop.TryPost([&control, batch] { control.Deliver(batch); });
    done(rpc::Empty());
  };
  handlers.claim = OnLoop(claim_loop, claims, &ClaimService::Claim);
  handlers.complete = OnLoop(claim_loop, claims, &ClaimService::Complete);
  handlers.release = OnLoop(claim_loop, claims, &ClaimService::Release);
  handlers.copy = OnLoop(claim_loop, claims, &ClaimService::Copy);
  return handlers;
}

}  // namespace wagtailpick::controller
