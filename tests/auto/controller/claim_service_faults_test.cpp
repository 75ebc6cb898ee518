#include <criterion/criterion.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "base/monotonic_time.h"
#include "claims/claim_messages.h"
#include "claims/claim_store.h"
#include "controller/claim_service.h"
#include "logging/log.h"
#include "rpc/claim_codec.h"
#include "rpc/server.h"
#include "storage/file_ops.h"
#include "timeline/event_ring.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::Result;
using controller::ClaimService;
using storage::ClaimLog;

/// A claim service without a thread of its own, on a claim log whose reads can be made to fail. Its
/// log lines go to a file.
class FaultyService {
 public:
  FaultyService() {
    std::string pattern = (std::filesystem::temp_directory_path() / "claims_XXXXXX").string();
    cr_assert(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    cr_assert(logging::Start({"vm", "dc", folder_ + "/lines", false}).has_value());
    auto ops = std::make_shared<storage::FileOps>(*storage::PosixFileOps());
    ops->read = [this](int file, std::uint64_t offset, std::size_t size) -> Result<std::string> {
      if (reads_fail) return base::Fail(base::ErrorCode::kIo, "input/output error");
      return storage::PosixFileOps()->read(file, offset, size);
    };
    cr_assert(ClaimLog::Create(ops, log_path()));
    log_ = OpenLog(ops);
    options.replicas = {"127.0.0.1:1"};
  }

  ~FaultyService() { std::filesystem::remove_all(folder_); }
  FaultyService(const FaultyService&) = delete;
  FaultyService& operator=(const FaultyService&) = delete;

  ClaimLog& log() { return *log_; }

  /// Starts the service on the disk of the given incarnation; `log` can't be used from then on.
  ClaimService& Start(std::uint64_t incarnation) {
    controller::RecoveredClaims recovered;
    recovered.incarnation = incarnation;
    auto service = ClaimService::Create(options, std::move(*log_), recovered, loop, events_);
    cr_assert(service.has_value());
    service_ = std::move(service.value());
    return *service_;
  }

  /// Records in the claim log with these bytes.
  int CountRecords(const std::string& bytes) const {
    int count = 0;
    cr_assert(ClaimLog::Open(storage::PosixFileOps(), log_path(),
                             [&](std::uint64_t, std::string_view record) {
                               if (record == bytes) ++count;
                               return Result<void>(base::Ok());
                             }));
    return count;
  }

  /// Log lines that contain both texts.
  int CountLines(const std::string& event, const std::string& text) const {
    std::ifstream file(folder_ + "/lines");
    int lines = 0;
    for (std::string line; std::getline(file, line);) {
      const bool matches =
          line.find(event) != std::string::npos && line.find(text) != std::string::npos;
      if (matches) ++lines;
    }
    return lines;
  }

  bool reads_fail = false;
  controller::ControllerOptions options;
  base::EventLoop loop{1'024};

 private:
  std::string log_path() const { return folder_ + "/claims"; }

  ClaimLog OpenLog(const storage::FileOpsPtr& ops) const {
    auto log = ClaimLog::Open(
        ops, log_path(), [](std::uint64_t, std::string_view) { return Result<void>(base::Ok()); });
    cr_assert(log.has_value());
    return std::move(log.value());
  }

  std::string folder_;
  std::optional<ClaimLog> log_;
  timeline::EventRing events_{"vm", 16};
  std::unique_ptr<ClaimService> service_;
};

template <typename Request>
Request RequestOf(char attempt) {
  Request request;
  request.set_key(std::string(32, 'k'));
  request.set_body(std::string(16, 'b'));
  request.set_attempt(std::string(16, attempt));
  request.set_deadline(base::WallNowMillis() + 60'000);
  return request;
}

/// Claims the key of `RequestOf` for a second attempt.
rpc::ClaimReply ClaimAgain(ClaimService& service) {
  auto request = RequestOf<rpc::ClaimRequest>('2');
  request.set_started_at(base::WallNowMillis());
  rpc::ClaimReply reply;
  service.Claim(request, [&](const Result<rpc::ClaimReply>& result) { reply = result.value(); });
  service.Tick();
  return reply;
}

/// A replica that answers copy requests with a page of an unknown replica.
struct UnknownReplica {
  std::string address;
  std::unique_ptr<rpc::Server> server;
};

UnknownReplica StartUnknownReplica() {
  rpc::ControlHandlers handlers;
  handlers.copy = [](const rpc::CopyRequest&, const rpc::Responder<rpc::CopyReply>& done) {
    rpc::CopyReply page;
    page.set_source(99);
    done(page);
  };
  for (int port = 18'300; port < 18'400; ++port) {
    const std::string address = "127.0.0.1:" + std::to_string(port);
    auto started = rpc::Server::Start(address, handlers, std::nullopt);
    if (started) return {address, std::move(started.value())};
  }
  return {};
}

}  // namespace

// Guards against an empty answer in place of one that can't be read from the claim log: the caller
// would take it for the answer of the first attempt.
Test(claim_service_faults, does_not_replay_an_answer_that_it_cannot_read) {
  FaultyService faulty;
  ClaimService& service = faulty.Start(1);
  auto complete = RequestOf<rpc::CompleteRequest>('1');
  complete.set_answer("answer");
  service.Complete(complete, [](const Result<rpc::Empty>&) {});
  service.Tick();
  cr_expect(ClaimAgain(service).answer() == "answer");
  faulty.reads_fail = true;
  const auto reply = ClaimAgain(service);
  cr_expect(reply.status() == static_cast<std::uint32_t>(claims::ClaimStatus::kHeld), "status %u",
            reply.status());
  cr_expect(faulty.CountLines("answer_unreadable", "input/output error") == 1);
  faulty.reads_fail = false;
  cr_expect(ClaimAgain(service).answer() == "answer");
}

// Guards against a copied claim whose answer the source can't read: the other replica stored it as
// completed, but holds it as claimed, so the next rewrite of its log dropped the record.
Test(claim_service_faults, copies_a_claim_without_its_unreadable_answer_as_held) {
  FaultyService faulty;
  ClaimService& service = faulty.Start(1);
  auto complete = RequestOf<rpc::CompleteRequest>('1');
  complete.set_answer("answer");
  service.Complete(complete, [](const Result<rpc::Empty>&) {});
  service.Tick();
  faulty.reads_fail = true;
  const auto request = rpc::ToWire(claims::CopyRequest{1, 2, 1, 0});
  rpc::CopyReply page;
  service.Copy(request, [&](const Result<rpc::CopyReply>& reply) { page = reply.value(); });
  service.Tick();
  cr_assert(page.records_size() == 1);
  claims::ClaimStore other({}, {1, 2});
  const auto now = base::WallNowMillis();
  const auto stored = other.ApplyCopied(rpc::FromWire(page.records(0)).value(), now).record;
  cr_assert(stored.has_value());
  bool is_live = false;
  other.ForEachLive(now, [&](const claims::Record& live) {
    is_live = is_live || (live.attempt == stored->attempt && live.kind == stored->kind);
  });
  cr_expect(is_live, "a rewrite drops the record");
}

// Guards against a rewrite of the claim log that drops a claim which it can't read: its request
// could run a second time.
Test(claim_service_faults, keeps_a_claim_that_it_cannot_read) {
  FaultyService faulty;
  cr_assert(faulty.log().Append("no record") && faulty.log().Sync());
  faulty.options.claim_log_rewrite_bytes = 1;
  faulty.Start(1).Tick();
  cr_expect(faulty.CountRecords("no record") == 1);
  cr_expect(faulty.CountLines("claim_unreadable", "ClaimRecord") == 1);
}

// Guards against a replica that never becomes ready, as no other can be copied, while no log line
// names the reason; and against a line for each attempt.
Test(claim_service_faults, logs_the_first_failure_to_copy_from_each_replica) {
  FaultyService faulty;
  const UnknownReplica replica = StartUnknownReplica();
  cr_assert(replica.server != nullptr);
  const std::string& unknown = replica.address;
  const std::string unreachable = "127.0.0.1:2";
  faulty.options.replicas = {"127.0.0.1:1", unreachable, unknown};
  ClaimService& service = faulty.Start(2);
  faulty.loop.Start(std::chrono::milliseconds(20), [&] { service.Tick(); });
  const auto both_logged = [&] {
    return faulty.CountLines("claim_copy_failed", unreachable + "\"") > 0 &&
           faulty.CountLines("claim_copy_failed", unknown) > 0;
  };
  const auto end = base::MonotonicNow() + std::chrono::seconds(10);
  while (!both_logged() && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  // Enough ticks for several more attempts.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  faulty.loop.Stop();
  cr_expect(faulty.CountLines("claim_copy_failed", unreachable + "\"") == 1);
  cr_expect(faulty.CountLines("claim_copy_failed", unknown) == 1);
}
