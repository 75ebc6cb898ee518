#include <nlohmann/json.hpp>
#include <utility>

#include "entry/announcement_json.h"
#include "entry/decision_answer.h"
#include "entry/dispatcher.h"
#include "http/json_answer.h"
#include "rpc/stamp.h"

namespace wagtailpick::entry {

void Dispatcher::ServeAnnouncement(const http::Request& request, const http::ResponseSink& sink) {
  auto announcement = ParseAnnouncement(request.body);
  if (!announcement) return sink(BadRequest(announcement.error().message));
  auto answer = [sink](const base::Result<rpc::AnnounceReply>& reply) {
    if (!reply) {
      return sink(reply.error().code == base::ErrorCode::kInvalidArgument
                      ? BadRequest(reply.error().message)
                      : Unavailable(reply.error().message));
    }
    const nlohmann::json body{{"owner", reply.value().owner_vm()}, {"next_ms", 500}};
    auto response = http::JsonAnswer(200, body);
    response.headers.push_back({"Cache-Control", "no-store"});
    sink(std::move(response));
  };
  const bool queued = loop_.TryPost([this, value = announcement.value(), answer, sink] {
    if (refuses_new_) return sink(StoppingAnswer(http::Request()));
    announcement_router_.Announce(value, answer);
  });
  if (!queued) sink(Unavailable("this entry is overloaded"));
}

void Dispatcher::Forward(const rpc::ForwardRequest& request,
                         const rpc::Responder<rpc::ForwardReply>& done) {
  rpc::ApplyStamp(context_.events, request);
  if (refuses_new_) return done(StoppingReply(request));
  ++running_;
  owner_.Execute(request, [this, done](base::Result<rpc::ForwardReply> reply) {
    if (reply) *reply.value().mutable_summary() = MakeSummary();
    done(std::move(reply));
    --running_;
  });
}

rpc::EntryHandlers Dispatcher::Handlers() {
  const auto overloaded = [] {
    return base::Fail(base::ErrorCode::kLimitExceeded, "this entry is overloaded");
  };
  rpc::EntryHandlers handlers;
  handlers.forward = [this, overloaded](const rpc::ForwardRequest& request, const auto& done) {
    if (!loop_.TryPost([this, request, done] { Forward(request, done); })) done(overloaded());
  };
  handlers.announce = [this, overloaded](const rpc::AnnounceRequest& request, const auto& done) {
    const bool queued =
        loop_.TryPost([this, request, done] { announcement_router_.Announce(request, done); });
    if (!queued) done(overloaded());
  };
  handlers.summarize = [this](const rpc::Summary& summary, const auto& done) {
    loop_.TryPost([this, summary] { steering_.ApplySummary(summary, base::MonotonicNow()); });
    done(rpc::Empty());
  };
  handlers.suspect = [this, overloaded](const rpc::SuspectRequest& request, const auto& done) {
    const bool queued = loop_.TryPost([this, request, done] { done(suspects_.Merge(request)); });
    if (!queued) done(overloaded());
  };
  return handlers;
}

}  // namespace wagtailpick::entry
