#include "rpc/operator_client.h"

#include <grpcpp/grpcpp.h>
#include <wagtailpick.grpc.pb.h>

#include <chrono>

#include "rpc/server.h"
#include "rpc/status_codes.h"

namespace wagtailpick::rpc {
namespace {

template <typename Request, typename Reply, typename Method>
base::Result<Reply> Call(Control::Stub& stub, Method method, const Request& request,
                         base::Duration timeout) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + timeout);
  Reply reply;
  const grpc::Status status = (stub.*method)(&context, request, &reply);
  if (!status.ok()) return ToError(status);
  return reply;
}

}  // namespace

struct OperatorClient::State {
  std::unique_ptr<Control::Stub> stub;
};

OperatorClient::OperatorClient(const std::string& address) : state_(std::make_unique<State>()) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  state_->stub = Control::NewStub(
      grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

OperatorClient::~OperatorClient() = default;

base::Result<SubmitReply> OperatorClient::Submit(const SubmitRequest& request,
                                                 base::Duration timeout) {
  return Call<SubmitRequest, SubmitReply>(*state_->stub, &Control::Stub::Submit, request, timeout);
}

base::Result<StatusReply> OperatorClient::Status(const StatusRequest& request,
                                                 base::Duration timeout) {
  return Call<StatusRequest, StatusReply>(*state_->stub, &Control::Stub::Status, request, timeout);
}

}  // namespace wagtailpick::rpc
