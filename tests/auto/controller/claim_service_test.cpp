#include "controller/claim_service.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "base/monotonic_time.h"
#include "claims/claim_messages.h"
#include "logging/log.h"
#include "rpc/claim_codec.h"
#include "rpc/server.h"
#include "storage/file_ops.h"
#include "timeline/event_ring.h"

namespace {

using wagtailpick::base::EventLoop;
using wagtailpick::base::Result;
using wagtailpick::claims::ClaimStatus;
using wagtailpick::controller::ClaimService;
using wagtailpick::controller::ControllerOptions;
using wagtailpick::controller::RecoveredClaims;
using wagtailpick::storage::ClaimLog;
namespace rpc = wagtailpick::rpc;

constexpr int kKeys = 40;

/// Runs the claim service of one replica on a real file, recovering the claims in it.
class ClaimServiceRunner {
 public:
  explicit ClaimServiceRunner(const std::string& path, bool is_new)
      : loop_(1'024), events_("vm", 16) {
    const auto ops = wagtailpick::storage::PosixFileOps();
    if (is_new) ClaimLog::Create(ops, path).value();
    RecoveredClaims recovered;
    auto log = ClaimLog::Open(ops, path, [&](std::uint64_t offset, std::string_view record) {
      recovered.records.emplace_back(record);
      recovered.offsets.push_back(offset);
      return Result<void>(wagtailpick::base::Ok());
    });
    recovered_count = recovered.records.size();
    ControllerOptions options;
    options.replicas = {"127.0.0.1:1"};
    options.claim_log_rewrite_bytes = 1;
    auto service = ClaimService::Create(options, std::move(log.value()), recovered, loop_, events_);
    if (!service) {
      error_ = service.error().message;
      return;
    }
    service_ = std::move(service.value());
    loop_.Start(std::chrono::hours(1), [] {});
  }

  ~ClaimServiceRunner() { loop_.Stop(); }

  rpc::ClaimReply Claim(int key, char attempt) {
    rpc::ClaimRequest request;
    request.set_key(Key(key));
    request.set_body(std::string(16, 'b'));
    request.set_attempt(Attempt(key, attempt));
    request.set_started_at(wagtailpick::base::WallNowMillis());
    request.set_deadline(wagtailpick::base::WallNowMillis() + 60'000);
    return Call<rpc::ClaimReply>(
        [this, request](const auto& done) { service_->Claim(request, done); });
  }

  void Complete(int key, char attempt, const std::string& answer) {
    rpc::CompleteRequest request;
    request.set_key(Key(key));
    request.set_body(std::string(16, 'b'));
    request.set_attempt(Attempt(key, attempt));
    request.set_deadline(wagtailpick::base::WallNowMillis() + 60'000);
    request.set_answer(answer);
    Call<rpc::Empty>([this, request](const auto& done) { service_->Complete(request, done); });
  }

  void Release(int key, char attempt) {
    rpc::ReleaseRequest request;
    request.set_key(Key(key));
    request.set_attempt(Attempt(key, attempt));
    Call<rpc::Empty>([this, request](const auto& done) { service_->Release(request, done); });
  }

  /// Runs one tick, which rewrites the log.
  void Rewrite() {
    std::promise<void> done;
    loop_.Post([&] {
      service_->Tick();
      done.set_value();
    });
    done.get_future().wait();
  }

  /// The error with which the service could not be created; empty if it could.
  const std::string& error() const { return error_; }

  std::size_t recovered_count = 0;

 private:
  /// Returns an attempt ID that differs between keys.
  static std::string Attempt(int key, char attempt) {
    return std::string(15, attempt) + static_cast<char>(key + 1);
  }

  static std::string Key(int key) { return std::string(32, static_cast<char>(key + 1)); }

  template <typename Reply, typename Start>
  Reply Call(Start start) {
    std::promise<Reply> reply;
    loop_.Post(
        [&] { start([&](const Result<Reply>& result) { reply.set_value(result.value()); }); });
    return reply.get_future().get();
  }

  EventLoop loop_;
  wagtailpick::timeline::EventRing events_;
  std::unique_ptr<ClaimService> service_;
  std::string error_;
};

int StatusOf(ClaimStatus status) { return static_cast<int>(status); }

/// Claims all keys, then completes a third of them and releases another third.
void FillKeys(ClaimServiceRunner& service) {
  for (int key = 0; key < kKeys; ++key) {
    service.Claim(key, 'a');
    if (key % 3 == 1) service.Complete(key, 'a', "answer " + std::to_string(key));
    if (key % 3 == 2) service.Release(key, 'a');
  }
}

/// Expects the state that `FillKeys` left, by claiming each key again.
void CheckKeys(ClaimServiceRunner& service, char attempt) {
  for (int key = 0; key < kKeys; ++key) {
    const auto reply = service.Claim(key, attempt);
    const int status = static_cast<int>(reply.status());
    if (key % 3 == 0) cr_expect_eq(status, StatusOf(ClaimStatus::kHeld), "key %d", key);
    if (key % 3 == 1) {
      cr_expect_eq(status, StatusOf(ClaimStatus::kCompleted), "key %d", key);
      cr_expect(reply.answer() == "answer " + std::to_string(key), "key %d", key);
    }
    if (key % 3 == 2) cr_expect_eq(status, StatusOf(ClaimStatus::kAccepted), "key %d", key);
    if (key % 3 == 2) service.Release(key, attempt);
  }
}

/// Path of a file in a new folder; removes the folder on destruction.
class LogFile {
 public:
  LogFile() {
    std::string pattern = (std::filesystem::temp_directory_path() / "claims_XXXXXX").string();
    cr_assert(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
  }
  ~LogFile() { std::filesystem::remove_all(folder_); }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  std::string path() const { return folder_ + "/claims"; }

 private:
  std::string folder_;
};

}  // namespace

// Guards against a rewrite that loses a claim, an answer or a release, before and after a restart.
Test(claim_service, a_rewritten_log_holds_the_same_claims) {
  const LogFile file;
  {
    ClaimServiceRunner service(file.path(), true);
    FillKeys(service);
    service.Rewrite();
    CheckKeys(service, 'b');
  }
  ClaimServiceRunner restarted(file.path(), false);
  CheckKeys(restarted, 'c');
}

// Guards against a rewrite that keeps records which later records replaced.
Test(claim_service, a_rewrite_drops_what_was_replaced) {
  const LogFile file;
  {
    ClaimServiceRunner service(file.path(), true);
    FillKeys(service);
    service.Rewrite();
  }
  const ClaimServiceRunner restarted(file.path(), false);
  // One record for each key (held, completed or released) and one that marks the replica ready.
  cr_expect_eq(restarted.recovered_count, kKeys + 1);
}

namespace {

/// A replica without claims: it answers each copy request with `restart`, as it has nothing to
/// copy.
class EmptyReplica {
 public:
  EmptyReplica() {
    rpc::ControlHandlers handlers;
    handlers.copy = [this](const rpc::CopyRequest& request,
                           const rpc::Responder<rpc::CopyReply>& done) {
      ++requests;
      wagtailpick::claims::CopyPage page;
      page.source = index;
      page.source_incarnation = 2;
      page.for_incarnation = request.incarnation();
      page.copy_id = request.copy_id();
      page.number = request.page();
      page.restart = true;
      done(rpc::ToWire(page));
    };
    for (int port = 18'200; server == nullptr && port < 18'300; ++port) {
      address = "127.0.0.1:" + std::to_string(port);
      auto started = rpc::Server::Start(address, handlers, std::nullopt);
      if (started) server = std::move(started.value());
    }
  }

  std::atomic<int> requests = 0;
  wagtailpick::claims::ReplicaIndex index = 0;
  std::string address;
  std::unique_ptr<rpc::Server> server;
};

}  // namespace

// Guards against a request flood when all replicas lost their disks: if each answer led to new
// requests to all replicas, the number of requests would double with every round trip.
Test(claim_service, sends_an_empty_replica_at_most_one_request_per_tick) {
  std::string folder = (std::filesystem::temp_directory_path() / "claim_service_XXXXXX").string();
  cr_assert(mkdtemp(folder.data()) != nullptr);
  const auto ops = wagtailpick::storage::PosixFileOps();
  const std::string path = folder + "/claims";
  cr_assert(ClaimLog::Create(ops, path));
  auto log = ClaimLog::Open(ops, path, [](std::uint64_t, std::string_view) {
    return Result<void>(wagtailpick::base::Ok());
  });
  EmptyReplica first;
  EmptyReplica second;
  first.index = 1;
  second.index = 2;
  ControllerOptions options;
  options.replicas = {"127.0.0.1:1", first.address, second.address};
  RecoveredClaims recovered;
  recovered.incarnation = 2;
  EventLoop loop(1'024);
  wagtailpick::timeline::EventRing events("vm", 16);
  const auto created =
      ClaimService::Create(options, std::move(log.value()), recovered, loop, events);
  cr_assert(created.has_value());
  ClaimService& service = *created.value();
  std::atomic<int> ticks = 0;
  loop.Start(std::chrono::milliseconds(100), [&] {
    ++ticks;
    service.Tick();
  });
  while (ticks < 10) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  loop.Stop();
  cr_expect(first.requests > 0);
  cr_expect(first.requests + second.requests <= 2 * ticks);
  std::filesystem::remove_all(folder);
}

// Guards against a claim log that can't be appended to and leaves no log line: all claims are
// refused from then on, for a reason that nobody can see.
Test(claim_service, logs_a_failed_append) {
  const LogFile file;
  auto ops = std::make_shared<wagtailpick::storage::FileOps>(*wagtailpick::storage::PosixFileOps());
  cr_assert(ClaimLog::Create(ops, file.path()));
  ops->write = [](int, std::uint64_t, std::string_view) -> Result<std::size_t> {
    return wagtailpick::base::Fail(wagtailpick::base::ErrorCode::kIo, "no space left on device");
  };
  const std::string lines_path = file.path() + ".lines";
  cr_assert(wagtailpick::logging::Start({"vm", "dc", lines_path, false}).has_value());
  auto log = ClaimLog::Open(ops, file.path(), [](std::uint64_t, std::string_view) {
    return Result<void>(wagtailpick::base::Ok());
  });
  cr_assert(log.has_value());
  ControllerOptions options;
  options.replicas = {"127.0.0.1:1"};
  EventLoop loop(1'024);
  wagtailpick::timeline::EventRing events("vm", 16);
  const auto created = ClaimService::Create(options, std::move(log.value()), {}, loop, events);
  cr_assert(created.has_value());
  ClaimService& service = *created.value();
  int replies = 0;
  int failures = 0;
  // Answers of 64 KiB, more of them than the log buffers until the next sync.
  for (int key = 0; key < kKeys; ++key) {
    rpc::CompleteRequest request;
    request.set_key(std::string(32, static_cast<char>(key + 1)));
    request.set_body(std::string(16, 'b'));
    request.set_attempt(std::string(16, static_cast<char>(key + 1)));
    request.set_deadline(wagtailpick::base::WallNowMillis() + 60'000);
    request.set_answer(std::string(65'536, 'a'));
    service.Complete(request, [&](const Result<rpc::Empty>& result) {
      ++replies;
      if (!result) ++failures;
    });
  }
  service.Tick();
  cr_expect(replies == kKeys && failures == kKeys, "%d of %d replies are errors", failures,
            replies);
  std::ifstream lines(lines_path);
  int logged = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.find("claim_log_failed") == std::string::npos) continue;
    ++logged;
    cr_expect(line.find("no space left on device") != std::string::npos, "%s", line.c_str());
  }
  cr_expect(logged == 1, "%d lines", logged);
}

// Guards against a start without a claim whose record can't be read: its request could run twice.
Test(claim_service, does_not_start_without_a_claim_that_it_cannot_read) {
  const LogFile file;
  {
    ClaimServiceRunner service(file.path(), true);
    service.Claim(1, 'a');
  }
  rpc::ClaimRecord of_unknown_kind;
  of_unknown_kind.set_kind(99);
  for (const std::string& record :
       {std::string("no record"), of_unknown_kind.SerializeAsString()}) {
    std::filesystem::copy_file(file.path(), file.path() + ".damaged",
                               std::filesystem::copy_options::overwrite_existing);
    {
      auto log = ClaimLog::Open(
          wagtailpick::storage::PosixFileOps(), file.path() + ".damaged",
          [](std::uint64_t, std::string_view) { return Result<void>(wagtailpick::base::Ok()); });
      cr_assert(log.has_value() && log.value().Append(record) && log.value().Sync());
    }
    const ClaimServiceRunner service(file.path() + ".damaged", false);
    cr_expect(service.error().starts_with("the claim record at offset "), "\"%s\"",
              service.error().c_str());
  }
}
