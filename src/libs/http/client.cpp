#include "http/client.h"

#include <curl/curl.h>

#include <array>
#include <atomic>
#include <map>
#include <thread>
#include <utility>
#include <vector>

#include "base/bounded_queue.h"
#include "base/enum_names.h"
#include "http/exchange_handle.h"

namespace wagtailpick::http {
namespace {

constexpr std::array<base::EnumName<ExchangeStatus>, 6> kStatusNames{{
    {ExchangeStatus::kComplete, "complete"},
    {ExchangeStatus::kNotSent, "not_sent"},
    {ExchangeStatus::kConnectionLost, "connection_lost"},
    {ExchangeStatus::kTimedOut, "timed_out"},
    {ExchangeStatus::kBadAnswer, "bad_answer"},
    {ExchangeStatus::kCancelled, "cancelled"},
}};

/// Longest time for which the client's thread waits for events.
constexpr int kPollMillis = 1'000;

struct Pending {
  ClientRequest request;
  std::function<void(Exchange)> done;
};

}  // namespace

std::string_view ToString(ExchangeStatus status) { return base::NameOf(kStatusNames, status); }

struct Client::State {
  explicit State(const ClientOptions& client_options)
      : options(client_options), queue(client_options.queue_capacity) {}

  void Run() {
    std::vector<Pending> batch;
    while (!stopping) {
      batch.clear();
      queue.PopAll(batch, base::Duration(0));
      for (auto& pending : batch) Add(std::move(pending));
      int running = 0;
      curl_multi_perform(multi, &running);
      HandleFinished();
      curl_multi_poll(multi, nullptr, 0, kPollMillis, nullptr);
    }
    // The requests of the last iteration were moved from; their callbacks must not be called again.
    batch.clear();
    queue.PopAll(batch, base::Duration(0));
    CancelAll(batch);
  }

  void Add(Pending pending) {
    auto done = pending.done;
    auto handle =
        ExchangeHandle::Create(options, std::move(pending.request), std::move(pending.done));
    if (handle == nullptr) {
      done(Exchange{ExchangeStatus::kNotSent, 0, {}, {}, "out of memory", base::Duration(0)});
      return;
    }
    CURL* curl = handle->curl();
    handles.emplace(curl, std::move(handle));
    curl_multi_add_handle(multi, curl);
  }

  void HandleFinished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* curl = message->easy_handle;
      const CURLcode code = message->data.result;
      curl_multi_remove_handle(multi, curl);
      const auto found = handles.find(curl);
      const auto handle = std::move(found->second);
      handles.erase(found);
      handle->Finish(code);
    }
  }

  void CancelAll(std::vector<Pending>& batch) {
    for (auto& [curl, handle] : handles) {
      curl_multi_remove_handle(multi, curl);
      handle->Cancel();
    }
    handles.clear();
    for (auto& pending : batch) {
      pending.done(Exchange{ExchangeStatus::kNotSent, 0, {}, {}, "stopped", base::Duration(0)});
    }
  }

  ClientOptions options;
  base::BoundedQueue<Pending> queue;
  CURLM* multi = nullptr;
  std::map<CURL*, std::unique_ptr<ExchangeHandle>> handles;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

Client::Client(std::unique_ptr<State> state) : state_(std::move(state)) {}

base::Result<std::unique_ptr<Client>> Client::Start(const ClientOptions& options) {
  static const CURLcode library_ready = curl_global_init(CURL_GLOBAL_DEFAULT);
  auto state = std::make_unique<State>(options);
  state->multi = curl_multi_init();
  if (library_ready != CURLE_OK || state->multi == nullptr) {
    return base::Fail(base::ErrorCode::kUnavailable, "cannot initialize libcurl");
  }
  curl_multi_setopt(state->multi, CURLMOPT_MAXCONNECTS, options.max_idle_connections);
  // With pipelining, an answer could be assigned to the wrong request.
  curl_multi_setopt(state->multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
  state->thread = std::thread([raw = state.get()] { raw->Run(); });
  return std::unique_ptr<Client>(new Client(std::move(state)));
}

Client::~Client() {
  state_->stopping = true;
  state_->queue.Close();
  curl_multi_wakeup(state_->multi);
  state_->thread.join();
  curl_multi_cleanup(state_->multi);
}

bool Client::Send(ClientRequest request, std::function<void(Exchange)> done) {
  if (!state_->queue.TryPush({std::move(request), std::move(done)})) return false;
  curl_multi_wakeup(state_->multi);
  return true;
}

}  // namespace wagtailpick::http
