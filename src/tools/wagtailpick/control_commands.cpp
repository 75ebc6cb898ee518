#include "wagtailpick/control_commands.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "rpc/operator_client.h"
#include "wagtailpick/exit_codes.h"
#include "wagtailpick/text_file.h"

namespace wagtailpick::tool {
namespace {

constexpr base::Duration kCallTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kPollInterval{200};

/// Calls `call` for one replica after the other until `is_final` accepts a reply; otherwise returns
/// the last reply or error. Fails with `kUnavailable` if `control` is empty.
template <typename Reply>
base::Result<Reply> CallReplicas(
    const std::vector<std::string>& control,
    const std::function<base::Result<Reply>(rpc::OperatorClient&)>& call,
    const std::function<bool(const Reply&)>& is_final) {
  base::Result<Reply> last =
      base::Fail(base::ErrorCode::kUnavailable, "--control names no address");
  for (const auto& address : control) {
    rpc::OperatorClient client(address);
    last = call(client);
    if (last && is_final(last.value())) return last;
  }
  return last;
}

/// Returns the first current status, which only the leader has; if there is none, the last reply or
/// error.
base::Result<rpc::StatusReply> FetchStatus(const std::vector<std::string>& control) {
  return CallReplicas<rpc::StatusReply>(
      control, [](rpc::OperatorClient& client) { return client.Status({}, kCallTimeout); },
      [](const rpc::StatusReply& reply) { return reply.current(); });
}

int ReportUnreachable(const std::string& message) {
  std::cerr << "wagtailpick: no control leader answered: " << message << "\n";
  return kExitRefused;
}

/// Returns the enumerator's name in lower case without its prefix, such as "accepted".
std::string OutcomeName(rpc::SubmitOutcome outcome) {
  const std::string name = rpc::SubmitOutcome_Name(outcome);
  std::string lower = name.substr(std::string("SUBMIT_OUTCOME_").size());
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lower;
}

nlohmann::json ToJson(const rpc::StatusReply& reply) {
  nlohmann::json sessions = nlohmann::json::array();
  for (const auto& session : reply.sessions()) {
    sessions.push_back({{"vm", session.vm()},
                        {"place", session.data_centre()},
                        {"bundle_version", session.bundle_version()},
                        {"lease_held", session.lease_held()},
                        {"draining", session.draining()}});
  }
  return {{"leader", reply.leader()},
          {"term", reply.term()},
          {"bundle_version", reply.bundle_version()},
          {"bundle_digest", reply.bundle_digest()},
          {"upstreams", reply.upstreams()},
          {"entries", sessions}};
}

/// Returns the number of entries that hold a lease with the bundle `version` or a later one.
std::int64_t CountLeases(const rpc::StatusReply& reply, std::uint64_t version) {
  return std::count_if(reply.sessions().begin(), reply.sessions().end(),
                       [&](const rpc::SessionStatus& session) {
                         return session.lease_held() && session.bundle_version() >= version;
                       });
}

}  // namespace

int SubmitBundle(const std::string& path, const std::vector<std::string>& control, bool as_json) {
  const auto bytes = ReadWholeFile(path);
  if (!bytes) {
    std::cerr << "wagtailpick: " << bytes.error().message << "\n";
    return kExitWrongInput;
  }
  rpc::SubmitRequest request;
  request.set_signed_bundle(bytes.value());
  const auto reply = CallReplicas<rpc::SubmitReply>(
      control, [&](rpc::OperatorClient& client) { return client.Submit(request, kCallTimeout); },
      [](const rpc::SubmitReply& value) {
        return value.outcome() != rpc::SUBMIT_OUTCOME_UNAVAILABLE;
      });
  if (!reply) {
    return ReportUnreachable(reply.error().message +
                             "; the outcome is unknown, submit the bundle again");
  }
  const auto& value = reply.value();
  const std::string outcome = OutcomeName(value.outcome());
  const bool is_accepted = value.outcome() == rpc::SUBMIT_OUTCOME_ACCEPTED ||
                           value.outcome() == rpc::SUBMIT_OUTCOME_ALREADY_ACCEPTED;
  if (as_json) {
    std::cout << nlohmann::json{{"outcome", outcome},
                                {"version", value.version()},
                                {"digest", value.digest()},
                                {"current_version", value.current_version()},
                                {"message", value.message()}}
              << "\n";
  } else {
    (is_accepted ? std::cout : std::cerr)
        << outcome << ": version " << value.version() << " has digest " << value.digest()
        << ", current version " << value.current_version()
        << (value.message().empty() ? "" : ": " + value.message()) << "\n";
  }
  return is_accepted ? kExitDone : kExitRefused;
}

int ShowStatus(const std::vector<std::string>& control, bool as_json) {
  const auto reply = FetchStatus(control);
  if (!reply) return ReportUnreachable(reply.error().message);
  const auto& value = reply.value();
  if (as_json) {
    std::cout << ToJson(value) << "\n";
    return kExitDone;
  }
  std::cout << "leader " << value.leader() << ", bundle version " << value.bundle_version() << " "
            << value.bundle_digest() << "\n";
  for (const auto& session : value.sessions()) {
    std::cout << session.vm() << " at " << session.data_centre() << ": ";
    if (session.lease_held()) {
      std::cout << "version " << session.bundle_version() << " in force";
    } else {
      std::cout << "lease ended";
    }
    std::cout << (session.draining() ? ", draining" : "") << "\n";
  }
  return kExitDone;
}

int WaitForVersion(std::uint64_t version, const std::vector<std::string>& control,
                   std::int64_t timeout_s) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(timeout_s);
  while (std::chrono::steady_clock::now() < deadline) {
    const auto reply = FetchStatus(control);
    if (reply && reply.value().bundle_version() >= version) {
      const auto with_lease = CountLeases(reply.value(), 0);
      const auto in_force = CountLeases(reply.value(), version);
      std::cerr << "version " << version << ": " << in_force << " of " << with_lease
                << " entries\n";
      // Without any entry the version is in force nowhere.
      if (with_lease > 0 && in_force == with_lease) return kExitDone;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "wagtailpick: version " << version << " is not in force everywhere after "
            << timeout_s << " s\n";
  return kExitRefused;
}

}  // namespace wagtailpick::tool
