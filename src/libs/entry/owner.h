#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "entry/entry_options.h"
#include "entry/owned_upstream.h"
#include "entry/process_context.h"
#include "entry/session.h"
#include "http/client.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// Owns upstreams: counts their slots and sends them requests. Used on the dispatcher's loop only.
class Owner {
 public:
  Owner(const ProcessContext& context, const Session& session, http::Client& client,
        base::EventLoop& loop);

  /// Tells whether this entry owns the upstream.
  bool Owns(const std::string& service, const std::string& address) const;

  /// Takes over an upstream; its slots stay unused for `quarantine`.
  void TakeOwnership(const rpc::AnnounceRequest& announcement, std::uint64_t epoch,
                     base::Duration quarantine);

  /// Updates an owned upstream from its announcement.
  void TakeAnnouncement(const rpc::AnnounceRequest& announcement);

  /// Sends a request to one of the owned upstreams of its service and data centre. `done` is called
  /// exactly once, on the loop.
  void Execute(const rpc::ForwardRequest& request, const rpc::Responder<rpc::ForwardReply>& done);

  /// Free and usable slots per service and data centre.
  std::vector<rpc::PlaceSummary> Summaries() const;

  /// Frees slots in doubt whose time has come, and drops silent upstreams.
  void Tick(base::MonotonicTime now);

 private:
  OwnedUpstream* Choose(const rpc::ForwardRequest& request, base::MonotonicTime now);
  void Finish(const rpc::ForwardRequest& request, const std::string& key,
              const http::Exchange& exchange, const rpc::Responder<rpc::ForwardReply>& done);

  ProcessContext context_;
  const Session& session_;
  http::Client& client_;
  base::EventLoop& loop_;
  std::map<std::string, OwnedUpstream> upstreams_;
};

}  // namespace wagtailpick::entry
