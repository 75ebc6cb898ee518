#include "rpc/server.h"

#include <grpcpp/grpcpp.h>
#include <wagtailpick.grpc.pb.h>

#include <chrono>
#include <utility>

#include "rpc/status_codes.h"

namespace wagtailpick::rpc {
namespace {

/// Time for running calls to end when the server stops; after it they are cancelled.
constexpr std::chrono::milliseconds kShutdownGrace{200};

template <typename Request, typename Reply>
grpc::ServerUnaryReactor* Serve(grpc::CallbackServerContext* context,
                                const Handler<Request, Reply>& handler, const Request* request,
                                Reply* reply) {
  auto* reactor = context->DefaultReactor();
  if (!handler) {
    reactor->Finish({grpc::StatusCode::UNIMPLEMENTED, "not served by this role"});
    return reactor;
  }
  handler(*request, [reactor, reply](base::Result<Reply> result) {
    if (!result) {
      reactor->Finish(ToStatus(result.error()));
      return;
    }
    *reply = std::move(result.value());
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

class ControlService final : public Control::CallbackService {
 public:
  explicit ControlService(const ControlHandlers& handlers) : handlers_(handlers) {}

  Reactor* Submit(Context* context, const SubmitRequest* request, SubmitReply* reply) override {
    return Serve(context, handlers_.submit, request, reply);
  }
  Reactor* Status(Context* context, const StatusRequest* request, StatusReply* reply) override {
    return Serve(context, handlers_.status, request, reply);
  }
  Reactor* Renew(Context* context, const RenewRequest* request, RenewReply* reply) override {
    return Serve(context, handlers_.renew, request, reply);
  }
  Reactor* Own(Context* context, const OwnRequest* request, OwnReply* reply) override {
    return Serve(context, handlers_.own, request, reply);
  }
  Reactor* Disown(Context* context, const DisownRequest* request, Empty* reply) override {
    return Serve(context, handlers_.disown, request, reply);
  }

 private:
  const ControlHandlers& handlers_;
};

class ConsensusService final : public Consensus::CallbackService {
 public:
  explicit ConsensusService(const ControlHandlers& handlers) : handlers_(handlers) {}

  Reactor* Deliver(Context* context, const ConsensusBatch* request, Empty* reply) override {
    return Serve(context, handlers_.deliver, request, reply);
  }

 private:
  const ControlHandlers& handlers_;
};

class ClaimsService final : public Claims::CallbackService {
 public:
  explicit ClaimsService(const ControlHandlers& handlers) : handlers_(handlers) {}

  Reactor* Claim(Context* context, const ClaimRequest* request, ClaimReply* reply) override {
    return Serve(context, handlers_.claim, request, reply);
  }
  Reactor* Complete(Context* context, const CompleteRequest* request, Empty* reply) override {
    return Serve(context, handlers_.complete, request, reply);
  }
  Reactor* Release(Context* context, const ReleaseRequest* request, Empty* reply) override {
    return Serve(context, handlers_.release, request, reply);
  }
  Reactor* Copy(Context* context, const CopyRequest* request, CopyReply* reply) override {
    return Serve(context, handlers_.copy, request, reply);
  }

 private:
  const ControlHandlers& handlers_;
};

class EntryService final : public Entry::CallbackService {
 public:
  explicit EntryService(const EntryHandlers& handlers) : handlers_(handlers) {}

  Reactor* Forward(Context* context, const ForwardRequest* request, ForwardReply* reply) override {
    return Serve(context, handlers_.forward, request, reply);
  }
  Reactor* Announce(Context* context, const AnnounceRequest* request,
                    AnnounceReply* reply) override {
    return Serve(context, handlers_.announce, request, reply);
  }
  Reactor* Summarize(Context* context, const Summary* request, Empty* reply) override {
    return Serve(context, handlers_.summarize, request, reply);
  }
  Reactor* Suspect(Context* context, const SuspectRequest* request, SuspectReply* reply) override {
    return Serve(context, handlers_.suspect, request, reply);
  }

 private:
  const EntryHandlers& handlers_;
};

}  // namespace

struct Server::State {
  std::optional<ControlHandlers> control_handlers;
  std::optional<EntryHandlers> entry_handlers;
  std::unique_ptr<ControlService> control;
  std::unique_ptr<ConsensusService> consensus;
  std::unique_ptr<ClaimsService> claims;
  std::unique_ptr<EntryService> entry;
  std::unique_ptr<grpc::Server> server;
};

Server::Server(std::unique_ptr<State> state) : state_(std::move(state)) {}

base::Result<std::unique_ptr<Server>> Server::Start(const std::string& address,
                                                    std::optional<ControlHandlers> control,
                                                    std::optional<EntryHandlers> entry) {
  auto state = std::make_unique<State>();
  state->control_handlers = std::move(control);
  state->entry_handlers = std::move(entry);
  grpc::ServerBuilder builder;
  int bound_port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &bound_port);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // With SO_REUSEPORT, two processes could listen on one port and would each receive some of the
  // calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  if (state->control_handlers) {
    state->control = std::make_unique<ControlService>(*state->control_handlers);
    state->consensus = std::make_unique<ConsensusService>(*state->control_handlers);
    state->claims = std::make_unique<ClaimsService>(*state->control_handlers);
    builder.RegisterService(state->control.get());
    builder.RegisterService(state->consensus.get());
    builder.RegisterService(state->claims.get());
  }
  if (state->entry_handlers) {
    state->entry = std::make_unique<EntryService>(*state->entry_handlers);
    builder.RegisterService(state->entry.get());
  }
  state->server = builder.BuildAndStart();
  if (state->server == nullptr || bound_port == 0) {
    return base::Fail(base::ErrorCode::kUnavailable, "can't listen on " + address);
  }
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::~Server() {
  state_->server->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
  state_->server->Wait();
}

}  // namespace wagtailpick::rpc
