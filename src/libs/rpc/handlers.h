#pragma once

#include <wagtailpick.pb.h>

#include <functional>

#include "base/result.h"

namespace wagtailpick::rpc {

/// Callback for the result of one call: the reply or an error. Called exactly once, on any thread.
template <typename Reply>
using Responder = std::function<void(base::Result<Reply>)>;

/// Implements one method. The request is valid until the responder is called.
template <typename Request, typename Reply>
using Handler = std::function<void(const Request&, Responder<Reply>)>;

/// Handlers of a control replica. Methods without a handler fail as unimplemented.
struct ControlHandlers {
  Handler<SubmitRequest, SubmitReply> submit;
  Handler<StatusRequest, StatusReply> status;
  Handler<RenewRequest, RenewReply> renew;
  Handler<OwnRequest, OwnReply> own;
  Handler<DisownRequest, Empty> disown;
  Handler<ConsensusBatch, Empty> deliver;
  Handler<ClaimRequest, ClaimReply> claim;
  Handler<CompleteRequest, Empty> complete;
  Handler<ReleaseRequest, Empty> release;
  Handler<CopyRequest, CopyReply> copy;
};

/// Handlers of an entry. Methods without a handler fail as unimplemented.
struct EntryHandlers {
  Handler<ForwardRequest, ForwardReply> forward;
  Handler<AnnounceRequest, AnnounceReply> announce;
  Handler<Summary, Empty> summarize;
  Handler<SuspectRequest, SuspectReply> suspect;
};

}  // namespace wagtailpick::rpc
