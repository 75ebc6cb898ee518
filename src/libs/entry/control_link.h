#pragma once

#include <functional>
#include <memory>
#include <string>

#include "entry/entry_options.h"
#include "entry/process_context.h"
#include "entry/session.h"
#include "rpc/client.h"

namespace wagtailpick::entry {

/// Keeps the session with the control leader: renews it, follows changes of leader, and takes in
/// new bundles and members.
class ControlLink {
 public:
  /// Called on the link's thread after each granted renewal.
  using RenewedHook = std::function<void(const rpc::RenewReply&, base::MonotonicTime sent)>;
  /// Adds what the entry asks for to a renewal.
  using PrepareHook = std::function<void(rpc::RenewRequest&)>;

  ControlLink(const EntryOptions& options, const ProcessContext& context, Session& session,
              PrepareHook prepare, RenewedHook on_renewed);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /// Starts renewing.
  void Start();

  /// Ends the renewals; the session then runs out.
  void Stop();

  /// Tells control that this entry is leaving, from the next renewal on.
  void StartDrain();

  /// Asks the leader for the ownership of an upstream.
  void RequestOwnership(const rpc::OwnRequest& request, rpc::Responder<rpc::OwnReply> done);

  /// Gives an ownership back.
  void ReleaseOwnership(const rpc::DisownRequest& request);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailpick::entry
