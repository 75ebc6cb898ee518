#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "rpc/handlers.h"

namespace wagtailpick::rpc {

/// Asynchronous gRPC client of one other process. Thread-safe; connects on demand.
///
/// Each call ends within `timeout` (plus the simulated delays) and then calls `done` with the reply
/// or an error, see `ToError`. The peer may have handled a failed call, unless the peer itself
/// returned the error.
class Client {
 public:
  /// Creates a client for `address`, an IP address with a port. Does not connect yet.
  static std::unique_ptr<Client> Create(const std::string& address);

  /// Delays each request to `address` and each reply from it by `one_way`, for clients created
  /// after this call. Simulates the network latency between regions when all processes run on one
  /// machine.
  static void SimulateDelay(const std::string& address, base::Duration one_way);

  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Returns the total size in bytes of the requests that this process has sent through any client,
  /// without transport overhead.
  static std::uint64_t SentBytes();

  const std::string& address() const { return address_; }

  void Submit(const SubmitRequest& request, base::Duration timeout, Responder<SubmitReply> done);
  void Status(const StatusRequest& request, base::Duration timeout, Responder<StatusReply> done);
  void Renew(const RenewRequest& request, base::Duration timeout, Responder<RenewReply> done);
  void Own(const OwnRequest& request, base::Duration timeout, Responder<OwnReply> done);
  void Disown(const DisownRequest& request, base::Duration timeout, Responder<Empty> done);
  void Deliver(const ConsensusBatch& request, base::Duration timeout, Responder<Empty> done);
  void Claim(const ClaimRequest& request, base::Duration timeout, Responder<ClaimReply> done);
  void Complete(const CompleteRequest& request, base::Duration timeout, Responder<Empty> done);
  void Release(const ReleaseRequest& request, base::Duration timeout, Responder<Empty> done);
  void Copy(const CopyRequest& request, base::Duration timeout, Responder<CopyReply> done);
  void Forward(const ForwardRequest& request, base::Duration timeout, Responder<ForwardReply> done);
  void Announce(const AnnounceRequest& request, base::Duration timeout,
                Responder<AnnounceReply> done);
  void Summarize(const Summary& request, base::Duration timeout, Responder<Empty> done);
  void Suspect(const SuspectRequest& request, base::Duration timeout, Responder<SuspectReply> done);

 private:
  struct State;
  Client(std::string address, std::shared_ptr<State> state);

  std::string address_;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailpick::rpc
