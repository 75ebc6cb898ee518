#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "entry/caller_request.h"
#include "entry/control_link.h"
#include "entry/entry_options.h"
#include "entry/owner.h"
#include "entry/peer_set.h"
#include "entry/process_context.h"
#include "entry/session.h"
#include "http/client.h"
#include "http/server.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// Decides what happens to each request of an entry. All state belongs to one loop; the public
/// functions may be called from any thread and post to it.
class Dispatcher {
 public:
  Dispatcher(const EntryOptions& options, const ProcessContext& context, Session& session,
             ControlLink& control, http::Client& client);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void Start();
  void Stop();

  /// Serves a caller's request to a service.
  void ServeCaller(http::Request request, const http::ResponseSink& sink);

  /// Serves an upstream's announcement over HTTP.
  void ServeAnnouncement(const http::Request& request, const http::ResponseSink& sink);

  /// Methods for the other entries.
  rpc::EntryHandlers Handlers();

  /// Takes in members after a renewal.
  void ViewChanged();

 private:
  struct Flow;

  void Begin(const http::Request& request, const http::ResponseSink& sink);
  void Route(const std::shared_ptr<Flow>& flow);
  void Forwarded(const std::shared_ptr<Flow>& flow, base::Result<rpc::ForwardReply> reply);
  void Answer(const std::shared_ptr<Flow>& flow, const rpc::ForwardReply& reply);
  std::string ChooseOwner(const Flow& flow, std::string& data_centre) const;
  void Announce(const rpc::AnnounceRequest& announcement, rpc::Responder<rpc::AnnounceReply> done);
  void RequestOwnership(const rpc::AnnounceRequest& announcement,
                        const rpc::Responder<rpc::AnnounceReply>& done);
  std::string PreferredOwner(const rpc::AnnounceRequest& announcement) const;
  void Tick();
  void SendSummaries();

  struct PeerSummary {
    rpc::Summary summary;
    base::MonotonicTime received;
  };

  EntryOptions options_;
  ProcessContext context_;
  Session& session_;
  ControlLink& control_;
  base::EventLoop loop_;
  Owner owner_;
  PeerSet peers_;
  std::map<std::string, PeerSummary> summaries_;
  std::uint64_t summary_sequence_ = 0;
};

}  // namespace wagtailpick::entry
