#include "stops/caller.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "net/http_text.h"
#include "platform/standin_site.h"
#include "platform/standin_wire.h"
#include "soak/http_call.h"

namespace wagtailpick::stops {
namespace {

constexpr base::Duration kDirectoryTimeout = std::chrono::seconds(1);
constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);
constexpr base::Duration kRetryDirectoryAfter = milliseconds(200);
constexpr double kMeanThinkMs = 250;
constexpr int kObjects = 24;
constexpr int kMaxAttempts = 4;
constexpr double kNewConnectionFraction = 0.2;
constexpr double kChunkedFraction = 0.35;
constexpr double kSlowFraction = 0.3;
constexpr std::size_t kBodyParts = 6;
constexpr milliseconds kMaxPartPause{400};
constexpr double kMeanBodyBytes = 4'000;
/// Part of its remaining time for which a caller waits before a retry.
constexpr double kMaxRetryAfterFraction = 1.0 / 3;

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Position of an element of `kTraffic`.
std::size_t KindOf(const Traffic& traffic) {
  return static_cast<std::size_t>(&traffic - kTraffic.data());
}

std::string Chunk(const std::string& bytes) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

}  // namespace

void CallLog::Add(Attempt attempt) {
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(attempt));
}

void CallLog::Add(const Traffic& traffic, Outcome outcome) {
  const std::lock_guard lock(mutex_);
  ++outcomes_.at(KindOf(traffic)).at(static_cast<std::size_t>(outcome));
}

std::vector<Attempt> CallLog::attempts() const {
  const std::lock_guard lock(mutex_);
  return attempts_;
}

int CallLog::count(const Traffic& traffic, Outcome outcome) const {
  const std::lock_guard lock(mutex_);
  return outcomes_.at(KindOf(traffic)).at(static_cast<std::size_t>(outcome));
}

Caller::Caller(std::size_t number, std::uint64_t seed, const CallerOptions& options, CallLog& log)
    : number_(number),
      random_(seed * 1'000 + number),
      options_(options),
      log_(log),
      lifetime_factor_(number % 3 == 0 ? 3 : 1) {}

void Caller::Run(const std::atomic<bool>& stopping) {
  std::exponential_distribution<double> think(1 / kMeanThinkMs);
  while (!stopping) {
    std::this_thread::sleep_for(milliseconds(static_cast<int>(think(random_))));
    CallOnce();
  }
}

void Caller::RefreshDirectory() {
  const auto now = base::MonotonicNow();
  if (now < directory_due_) return;
  directory_due_ = now + kRetryDirectoryAfter;
  const auto place = std::to_string(number_ % 2);
  const auto question =
      platform::DirectoryQuestion(number_ % 2 == 0 ? "east" : "west", "dc-" + place);
  const auto& directory = options_.directories[random_() % options_.directories.size()];
  const auto answer = soak::Call(directory, question, kDirectoryTimeout);
  if (!answer || answer->status != 200) return;
  auto parsed = platform::ParseDirectoryAnswer(answer->body);
  if (parsed.addresses.empty()) return;
  addresses_ = std::move(parsed.addresses);
  failed_addresses_.clear();
  directory_due_ = now + parsed.lifetime * lifetime_factor_;
}

bool Caller::EnsureConnection(bool fresh, Attempt& attempt) {
  RefreshDirectory();
  const bool listed = connection_ != nullptr &&
                      std::ranges::find(addresses_, connection_->address()) != addresses_.end();
  if (listed && !fresh && !connection_->IsSpent()) {
    attempt.kept_connection = true;
    attempt.address = connection_->address();
    return true;
  }
  connection_.reset();
  std::vector<std::string> usable;
  for (const auto& address : addresses_) {
    if (!failed_addresses_.contains(address)) usable.push_back(address);
  }
  if (usable.empty()) usable = addresses_;
  if (usable.empty()) return false;
  attempt.address = usable[random_() % usable.size()];
  connection_ = std::make_unique<ClientConnection>(attempt.address);
  if (connection_->Connect(kConnectTimeout)) return true;
  failed_addresses_.insert(attempt.address);
  connection_.reset();
  return false;
}

std::vector<std::string> Caller::Render(const Attempt& attempt, const std::string& target) {
  const auto deadline = std::chrono::duration_cast<milliseconds>(attempt.time).count();
  auto request =
      platform::ClientRequest(attempt.traffic->method, target, attempt.id,
                              static_cast<int>(deadline), target.substr(target.rfind('/') + 1));
  if (attempt.traffic->idempotent) return {net::RenderRequest(request)};
  std::exponential_distribution<double> size(1 / kMeanBodyBytes);
  const std::string body(kBodyParts + static_cast<std::size_t>(size(random_)), 'b');
  const auto part_bytes = body.size() / kBodyParts;
  std::string head = net::RenderRequestHead(request, body.size());
  if (attempt.chunked) {
    const auto begin = head.find("Content-Length");
    head.replace(begin, head.find("\r\n", begin) - begin, "Transfer-Encoding: chunked");
  }
  std::vector<std::string> parts{head};
  for (std::size_t i = 0; i < kBodyParts; ++i) {
    const bool last = i + 1 == kBodyParts;
    const auto piece = body.substr(i * part_bytes, last ? std::string::npos : part_bytes);
    parts.push_back(attempt.chunked ? Chunk(piece) : piece);
  }
  if (attempt.chunked) parts.emplace_back("0\r\n\r\n");
  if (attempt.slow) return parts;
  std::string whole;
  for (const auto& part : parts) whole += part;
  return {whole};
}

Attempt Caller::Send(const Traffic& traffic, const std::string& target, base::MonotonicTime end,
                     bool repeated) {
  Attempt attempt;
  attempt.id = "c" + std::to_string(number_) + "-" + std::to_string(sent_++);
  attempt.traffic = &traffic;
  attempt.repeated = repeated;
  attempt.chunked = !traffic.idempotent && Draw() < kChunkedFraction;
  attempt.slow = !traffic.idempotent && Draw() < kSlowFraction;
  attempt.half_closed = Draw() < options_.half_close;
  const bool fresh = repeated || Draw() < kNewConnectionFraction;
  const bool connected = EnsureConnection(fresh, attempt);
  attempt.began_at = base::MonotonicNow();
  attempt.time = end - attempt.began_at;
  if (connected) {
    const auto pause = milliseconds(random_() % static_cast<std::uint64_t>(kMaxPartPause.count()));
    attempt.result = connection_->Exchange(
        Render(attempt, target), attempt.slow ? base::Duration(pause) : base::Duration::zero(),
        attempt.half_closed, end, [&] { options_.on_answer_began(attempt.address); });
  }
  attempt.ended_at = base::MonotonicNow();
  if (attempt.result.response) attempt.status = attempt.result.response->status;
  if (!attempt.result.keeps_open) connection_.reset();
  if (connected && !attempt.result.response) failed_addresses_.insert(attempt.address);
  log_.Add(attempt);
  return attempt;
}

bool Caller::MayRepeat(const Attempt& attempt) const {
  if (IsPromise(attempt.status)) return true;
  if (attempt.status >= 200 && attempt.status < 500) return false;
  if (attempt.traffic->idempotent) return true;
  return attempt.status == 0 && !options_.has_arrived(attempt.id);
}

void Caller::CallOnce() {
  const double kind = Draw() * (kTraffic[0].weight + kTraffic[1].weight + kTraffic[2].weight);
  const auto& traffic = kind < kTraffic[0].weight                        ? kTraffic[0]
                        : kind < kTraffic[0].weight + kTraffic[1].weight ? kTraffic[1]
                                                                         : kTraffic[2];
  const std::string target = traffic.path_prefix + std::to_string(random_() % kObjects);
  const auto began = base::MonotonicNow();
  const auto end = began + traffic.deadline;
  int status = 0;
  for (int i = 0; i < kMaxAttempts && base::MonotonicNow() < end; ++i) {
    const auto attempt = Send(traffic, target, end, i > 0);
    status = attempt.status;
    if (status == 200) {
      const bool in_aim = attempt.ended_at - began <= traffic.objective;
      return log_.Add(traffic, in_aim ? Outcome::kInAim : Outcome::kLate);
    }
    if (!MayRepeat(attempt)) break;
    const auto* wait = attempt.result.response
                           ? http::FindHeader(attempt.result.response->headers, "Retry-After")
                           : nullptr;
    const auto most = base::Scale(end - base::MonotonicNow(), kMaxRetryAfterFraction);
    const auto named =
        wait == nullptr ? milliseconds(50) : base::FromSeconds(std::strtod(wait->c_str(), nullptr));
    std::this_thread::sleep_for(std::min<base::Duration>(most, named));
  }
  log_.Add(traffic, IsPromise(status) ? Outcome::kRefused : Outcome::kFailed);
}

}  // namespace wagtailpick::stops
