#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "rpc/handlers.h"

namespace wagtailpick::rpc {

/// Calls the methods of one other process. Thread-safe; connects by itself when it is needed.
///
/// Each call ends within `timeout`. A failed call may have been handled by the peer, unless the
/// peer answered with an error of its own.
class Client {
 public:
  /// `address` is an IP address with a port.
  static std::unique_ptr<Client> Create(const std::string& address);

  /// Adds a delay to each request to an address and to each reply from it, for clients created
  /// later. It stands in for the distance between regions when all processes run on one machine.
  static void SimulateDelay(const std::string& address, base::Duration one_way);

  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Bytes of all requests that this process has sent to other processes, without transport
  /// overhead.
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
