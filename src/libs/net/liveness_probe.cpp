#include "net/liveness_probe.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "base/enum_names.h"
#include "net/socket_options.h"

namespace wagtailpick::net {
namespace {

constexpr std::array<base::EnumName<ProbeVerdict>, 3> kVerdictNames{{
    {ProbeVerdict::kEnded, "ended"},
    {ProbeVerdict::kListening, "listens"},
    {ProbeVerdict::kUnknown, "unknown"},
}};

/// Timeout of a connection attempt; allows several round trips between regions.
constexpr std::chrono::milliseconds kTimeout{500};

ProbeVerdict ToVerdict(asio::error_code error) {
  if (!error) return ProbeVerdict::kListening;
  return error == asio::error::connection_refused ? ProbeVerdict::kEnded : ProbeVerdict::kUnknown;
}

}  // namespace

std::string_view ToString(ProbeVerdict verdict) { return base::NameOf(kVerdictNames, verdict); }

struct LivenessProbe::Attempt {
  explicit Attempt(asio::io_context& loop) : socket(loop), timer(loop) {}
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
};

LivenessProbe::LivenessProbe(asio::io_context& loop)
    : loop_(loop), callbacks_(std::make_shared<Callbacks>()) {}

void LivenessProbe::Start(const base::Endpoint& endpoint, Done done) {
  const auto key = base::ToString(endpoint);
  auto& callbacks = (*callbacks_)[key];
  callbacks.push_back(std::move(done));
  if (callbacks.size() > 1) return;
  auto attempt = std::make_shared<Attempt>(loop_);
  attempt->timer.expires_after(kTimeout);
  attempt->timer.async_wait([attempt](asio::error_code error) {
    asio::error_code ignored;
    if (!error) attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(
      ToAsio(endpoint),
      [attempt, key, weak = std::weak_ptr<Callbacks>(callbacks_)](asio::error_code error) {
        attempt->timer.cancel();
        asio::error_code ignored;
        attempt->socket.close(ignored);
        const auto all = weak.lock();
        if (all == nullptr) return;
        const auto finished = std::exchange((*all)[key], {});
        all->erase(key);
        for (const auto& callback : finished) callback(ToVerdict(error));
      });
}

}  // namespace wagtailpick::net
