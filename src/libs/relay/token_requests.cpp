#include "relay/token_requests.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::relay {
namespace {

constexpr std::array<base::EnumName<TokenOutcome>, 4> kOutcomeNames{{
    {TokenOutcome::kGranted, "granted"},
    {TokenOutcome::kDenied, "denied"},
    {TokenOutcome::kUnanswered, "unanswered"},
    {TokenOutcome::kNoReplica, "no_replica"},
}};

/// Several round trips between regions. A caller whose request waits longer is better served by
/// another upstream.
constexpr std::chrono::milliseconds kAnswerTimeout{200};

}  // namespace

std::string_view ToString(TokenOutcome outcome) { return base::NameOf(kOutcomeNames, outcome); }

void TokenRequests::Request(const limits::LimitReport& limit, bool urgent, Done done) {
  const std::uint64_t id = next_id_++;
  if (!sender_ || !sender_({id, limit, urgent})) return done(TokenOutcome::kNoReplica, {});
  auto timer = std::make_shared<asio::steady_timer>(loop_, kAnswerTimeout);
  timer->async_wait([this, id](asio::error_code error) {
    if (!error) Complete(id, TokenOutcome::kUnanswered, {});
  });
  pending_[id] = {std::move(timer), std::move(done)};
}

void TokenRequests::HandleAnswer(const limits::TokenAnswer& answer) {
  Complete(answer.id, answer.granted ? TokenOutcome::kGranted : TokenOutcome::kDenied,
           answer.retry_in);
}

void TokenRequests::Complete(std::uint64_t id, TokenOutcome outcome, base::Duration retry_in) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const auto pending = std::move(found->second);
  pending_.erase(found);
  pending.timer->cancel();
  pending.done(outcome, retry_in);
}

}  // namespace wagtailpick::relay
