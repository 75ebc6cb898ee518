#pragma once

#include <functional>
#include <memory>
#include <string>

#include "entry/entry_options.h"
#include "entry/process_context.h"
#include "entry/session.h"
#include "rpc/client.h"

namespace wagtailpick::entry {

/// Maintains the entry's session with the control leader: renews it, follows changes of leader, and
/// applies new bundles and views to the `Session`.
class ControlLink {
 public:
  /// Called on the link's thread after each granted renewal; `sent` is when the renewal was sent.
  using RenewedHook = std::function<void(const rpc::RenewReply&, base::MonotonicTime sent)>;
  /// Adds the entry's share demands to a renewal request.
  using PrepareHook = std::function<void(rpc::RenewRequest&)>;

  ControlLink(const EntryOptions& options, const ProcessContext& context, Session& session,
              PrepareHook prepare, RenewedHook on_renewed);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /// Starts the link's thread, which renews the session every 250 ms.
  void Start();

  /// Stops renewing. The session then expires with its lease.
  void Stop();

  /// Marks this entry as draining in the next and all later renewals.
  void StartDrain();

  /// Requests the ownership of an upstream from the leader. `done` gets the leader's reply or the
  /// error of the call, which times out after 600 ms.
  void RequestOwnership(const rpc::OwnRequest& request, rpc::Responder<rpc::OwnReply> done);

  /// Returns an ownership to the leader. Errors are ignored: the ownership ends with the session at
  /// the latest.
  void ReleaseOwnership(const rpc::DisownRequest& request);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailpick::entry
