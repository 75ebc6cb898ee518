#include "cluster/dialer.h"

#include <algorithm>
#include <utility>

#include "cluster/message_codec.h"
#include "logging/log.h"
#include "net/socket_options.h"

namespace wagtailpick::cluster {
namespace {

constexpr base::Duration kRedialDelay = std::chrono::milliseconds(300);
constexpr base::Duration kPingInterval = std::chrono::milliseconds(500);
/// The link is closed when nothing was received for this time. Shorter than the time within which
/// every connected VM has to receive changes.
constexpr base::Duration kSilenceLimit = std::chrono::milliseconds(1'600);

}  // namespace

/// A connection attempt. The completion handler shares its ownership, so it may outlive the dialer.
struct Dialer::Attempt {
  explicit Attempt(asio::io_context& loop) : socket(loop) {}
  asio::ip::tcp::socket socket;
  /// Null once the dialer has abandoned the attempt.
  Dialer* owner = nullptr;
};

Dialer::Dialer(asio::io_context& loop, base::Endpoint endpoint, Hooks hooks)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      hooks_(std::move(hooks)),
      down_since_(base::MonotonicNow()) {}

Dialer::~Dialer() {
  if (attempt_ != nullptr) attempt_->owner = nullptr;
  if (link_ != nullptr) link_->Close();
}

void Dialer::Tick(base::MonotonicTime now) {
  if (link_ != nullptr) {
    if (now - std::max(link_->last_received(), started_at_) > kSilenceLimit) {
      return CloseLink("silent");
    }
    if (now < ping_due_) return;
    ping_due_ = now + kPingInterval;
    link_->Send(Encode(hooks_.ping()));
    return;
  }
  if (attempt_ != nullptr) {
    if (now - started_at_ < connect_timeout_.current()) return;
    connect_timeout_.RecordTimeout();
    attempt_->owner = nullptr;
    asio::error_code ignored;
    attempt_->socket.close(ignored);
    attempt_ = nullptr;
    dial_due_ = now;
  }
  if (now >= dial_due_) Dial(now);
}

void Dialer::Dial(base::MonotonicTime now) {
  dial_due_ = now + kRedialDelay;
  started_at_ = now;
  attempt_ = std::make_shared<Attempt>(loop_);
  attempt_->owner = this;
  attempt_->socket.async_connect(net::ToAsio(endpoint_),
                                 [attempt = attempt_](asio::error_code error) {
                                   if (attempt->owner == nullptr) return;
                                   attempt->owner->attempt_ = nullptr;
                                   if (error) return;
                                   attempt->owner->HandleConnected(std::move(attempt->socket));
                                 });
}

void Dialer::HandleConnected(asio::ip::tcp::socket socket) {
  connect_timeout_.RecordConnected();
  started_at_ = base::MonotonicNow();
  ping_due_ = started_at_ + kPingInterval;
  link_ = std::make_shared<net::FrameLink>(std::move(socket));
  net::FrameLink::Hooks hooks;
  hooks.frame = [this](const std::string& frame) { HandleFrame(frame); };
  hooks.closed = [this](const std::string& reason) { CloseLink(reason); };
  link_->Start(std::move(hooks));
  link_->Send(Encode(hooks_.hello()));
  link_->Send(Encode(hooks_.ping()));
}

void Dialer::HandleFrame(const std::string& frame) {
  const auto message = Decode(frame);
  if (!message) {
    return CloseLink("unreadable message: " + message.error().message);
  }
  if (!up_) {
    up_ = true;
    hooks_.up();
  }
  hooks_.message(message.value());
}

void Dialer::CloseLink(const std::string& reason) {
  const auto link = std::exchange(link_, nullptr);
  if (link == nullptr) return;
  link->Close();
  dial_due_ = base::MonotonicNow() + kRedialDelay;
  if (!std::exchange(up_, false)) return;
  down_since_ = base::MonotonicNow();
  hooks_.down(reason);
}

bool Dialer::Send(const Message& message) {
  if (link_ == nullptr) return false;
  link_->Send(Encode(message));
  return true;
}

}  // namespace wagtailpick::cluster
