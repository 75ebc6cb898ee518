#include "rpc/client.h"

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>
#include <wagtailpick.grpc.pb.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "rpc/server.h"
#include "rpc/status_codes.h"

namespace wagtailpick::rpc {
namespace {

/// Interval between attempts to reconnect; short, as the peer may be restarting.
constexpr int kReconnectMillis = 200;

/// Simulated one-way network delays, by address. Thread-safe.
class DelayTable {
 public:
  void Set(const std::string& address, base::Duration one_way) {
    const std::lock_guard lock(mutex_);
    delays_[address] = one_way;
  }

  base::Duration Find(const std::string& address) const {
    const std::lock_guard lock(mutex_);
    const auto found = delays_.find(address);
    return found == delays_.end() ? base::Duration(0) : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, base::Duration> delays_;
};

DelayTable simulated_delays;

std::atomic<std::uint64_t> sent_bytes = 0;

/// Runs `task` on a gRPC thread after `delay`, or at once if `delay` is zero or less.
void RunLater(base::Duration delay, std::function<void()> task) {
  if (delay <= base::Duration(0)) {
    task();
    return;
  }
  auto alarm = std::make_shared<grpc::Alarm>();
  const auto when = std::chrono::system_clock::now() + delay;
  alarm->Set(when, [alarm, task = std::move(task)](bool) { task(); });
}

/// State of one call; kept alive until the call has ended.
template <typename Request, typename Reply>
struct Call {
  grpc::ClientContext context;
  Request request;
  Reply reply;
  Responder<Reply> done;
};

template <typename Request, typename Reply, typename Start>
void CallUnary(base::Duration delay, const Request& request, base::Duration timeout,
               Responder<Reply> done, Start start) {
  auto call = std::make_shared<Call<Request, Reply>>();
  call->request = request;
  sent_bytes.fetch_add(request.ByteSizeLong(), std::memory_order_relaxed);
  call->done = std::move(done);
  call->context.set_deadline(std::chrono::system_clock::now() + timeout);
  RunLater(delay, [call, delay, start] {
    start(&call->context, &call->request, &call->reply, [call, delay](const grpc::Status& status) {
      RunLater(delay, [call, status] {
        if (status.ok()) {
          call->done(std::move(call->reply));
        } else {
          call->done(boost::outcome_v2::failure(ToError(status)));
        }
      });
    });
  });
}

}  // namespace

struct Client::State {
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<Control::Stub> control;
  std::unique_ptr<Consensus::Stub> consensus;
  std::unique_ptr<Claims::Stub> claims;
  std::unique_ptr<Entry::Stub> entry;
  base::Duration delay{0};
};

std::unique_ptr<Client> Client::Create(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMillis);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kReconnectMillis);
  // gRPC must not retry calls: the callers decide by the verdict whether a call may be repeated.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  auto state = std::make_shared<State>();
  state->channel =
      grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
  state->control = Control::NewStub(state->channel);
  state->consensus = Consensus::NewStub(state->channel);
  state->claims = Claims::NewStub(state->channel);
  state->entry = Entry::NewStub(state->channel);
  state->delay = simulated_delays.Find(address);
  return std::unique_ptr<Client>(new Client(address, std::move(state)));
}

std::uint64_t Client::SentBytes() { return sent_bytes.load(std::memory_order_relaxed); }

void Client::SimulateDelay(const std::string& address, base::Duration one_way) {
  simulated_delays.Set(address, one_way);
}

Client::Client(std::string address, std::shared_ptr<State> state)
    : address_(std::move(address)), state_(std::move(state)) {}

Client::~Client() = default;

#define WAGTAILPICK_RPC_METHOD(Service, Method, Request, Reply)                                 \
  void Client::Method(const Request& request, base::Duration timeout, Responder<Reply> done) {  \
    CallUnary<Request, Reply>(state_->delay, request, timeout, std::move(done),                 \
                              [stub = state_->Service.get(), channel = state_->channel](        \
                                  auto... arguments) { stub->async()->Method(arguments...); }); \
  }

WAGTAILPICK_RPC_METHOD(control, Submit, SubmitRequest, SubmitReply)
WAGTAILPICK_RPC_METHOD(control, Status, StatusRequest, StatusReply)
WAGTAILPICK_RPC_METHOD(control, Renew, RenewRequest, RenewReply)
WAGTAILPICK_RPC_METHOD(control, Own, OwnRequest, OwnReply)
WAGTAILPICK_RPC_METHOD(control, Disown, DisownRequest, Empty)
WAGTAILPICK_RPC_METHOD(consensus, Deliver, ConsensusBatch, Empty)
WAGTAILPICK_RPC_METHOD(claims, Claim, ClaimRequest, ClaimReply)
WAGTAILPICK_RPC_METHOD(claims, Complete, CompleteRequest, Empty)
WAGTAILPICK_RPC_METHOD(claims, Release, ReleaseRequest, Empty)
WAGTAILPICK_RPC_METHOD(claims, Copy, CopyRequest, CopyReply)
WAGTAILPICK_RPC_METHOD(entry, Forward, ForwardRequest, ForwardReply)
WAGTAILPICK_RPC_METHOD(entry, Announce, AnnounceRequest, AnnounceReply)
WAGTAILPICK_RPC_METHOD(entry, Summarize, Summary, Empty)
WAGTAILPICK_RPC_METHOD(entry, Suspect, SuspectRequest, SuspectReply)

#undef WAGTAILPICK_RPC_METHOD

}  // namespace wagtailpick::rpc
