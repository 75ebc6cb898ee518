#include "stops/client_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>
#include <utility>

#include "base/enum_names.h"
#include "net/http_parser_state.h"

namespace wagtailpick::stops {
namespace {

constexpr std::array<base::EnumName<Ending>, 5> kEndingNames{{
    {Ending::kAnswered, "answered"},
    {Ending::kClosed, "closed"},
    {Ending::kReset, "reset"},
    {Ending::kTimedOut, "timed_out"},
    {Ending::kNotConnected, "not_connected"},
}};

}  // namespace

std::string_view ToString(Ending ending) { return base::NameOf(kEndingNames, ending); }

ClientConnection::ClientConnection(std::string address)
    : address_(std::move(address)),
      descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {}

ClientConnection::~ClientConnection() { ::close(descriptor_); }

bool ClientConnection::Wait(short events, base::MonotonicTime end) const {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - base::MonotonicNow());
  pollfd waiting{descriptor_, events, 0};
  return ::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, left.count()))) > 0;
}

bool ClientConnection::Connect(base::Duration timeout) {
  const auto endpoint = base::ParseEndpoint(address_);
  if (!endpoint) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.value().port);
  inet_pton(AF_INET, endpoint.value().address.c_str(), &address.sin_addr);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(descriptor_, generic, sizeof(address)) == 0) return true;
  if (errno != EINPROGRESS || !Wait(POLLOUT, base::MonotonicNow() + timeout)) return false;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

bool ClientConnection::IsSpent() const { return Wait(POLLIN, base::MonotonicNow()); }

bool ClientConnection::Send(const std::string& bytes, base::MonotonicTime end) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    if (!Wait(POLLOUT, end)) return false;
    const auto length = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (length <= 0) return false;
    sent += static_cast<std::size_t>(length);
  }
  return true;
}

ExchangeResult ClientConnection::Exchange(const std::vector<std::string>& parts,
                                          base::Duration pause, bool half_close,
                                          base::MonotonicTime end,
                                          const std::function<void()>& on_answer_began) {
  ExchangeResult result;
  bool whole = true;
  for (std::size_t i = 0; i < parts.size() && whole; ++i) {
    const bool answered_early = i > 0 && Wait(POLLIN, base::MonotonicNow() + pause);
    whole = !answered_early && Send(parts[i], end);
  }
  if (whole) {
    result.sent_at = base::MonotonicNow();
    if (half_close) ::shutdown(descriptor_, SHUT_WR);
  }
  Receive(result, end, on_answer_began);
  result.keeps_open = result.keeps_open && whole && !half_close;
  return result;
}

void ClientConnection::Receive(ExchangeResult& result, base::MonotonicTime end,
                               const std::function<void()>& on_answer_began) const {
  net::HttpParserState parser(net::HttpParserState::Kind::kResponse, {});
  std::array<char, 4'096> buffer{};
  while (!parser.complete() && parser.error() == net::ParseError::kNone) {
    if (!Wait(POLLIN, end)) {
      result.ending = Ending::kTimedOut;
      return;
    }
    if (result.partial_bytes == 0) on_answer_began();
    const auto length = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (length <= 0) {
      result.ending = length == 0 ? Ending::kClosed : Ending::kReset;
      return;
    }
    result.partial_bytes += static_cast<std::size_t>(length);
    parser.Feed({buffer.data(), static_cast<std::size_t>(length)});
  }
  result.ending = parser.complete() ? Ending::kAnswered : Ending::kReset;
  if (!parser.complete()) return;
  result.keeps_open = parser.keep_alive();
  result.response = std::move(parser.response());
}

}  // namespace wagtailpick::stops
