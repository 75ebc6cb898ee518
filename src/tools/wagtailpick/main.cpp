#include <charconv>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "settings/command_line.h"
#include "wagtailpick/bundle_commands.h"
#include "wagtailpick/control_commands.h"
#include "wagtailpick/exit_codes.h"
#include "wagtailpick/explain_command.h"
#include "wagtailpick/timeline_command.h"

namespace {

constexpr const char* kUsage =
    R"(wagtailpick: the operator's command-line tool of the traffic steering system.

Usage:
  wagtailpick keygen --out=PREFIX
  wagtailpick check BUNDLE [--json]
  wagtailpick sign BUNDLE --key=FILE --out=FILE
  wagtailpick submit SIGNED --control=ADDRESSES [--json]
  wagtailpick status --control=ADDRESSES [--json]
  wagtailpick wait VERSION --control=ADDRESSES [--timeout=SECONDS]
  wagtailpick timeline --admin=ADDRESSES [--json]
  wagtailpick explain ID FILE... [--json]
  wagtailpick --help
  wagtailpick --version

Options:
  --out=FILE           Output file; for keygen the prefix of the two key files.
  --key=FILE           File with the operator's secret key.
  --control=ADDRESSES  Addresses of control replicas, separated by commas.
  --admin=ADDRESSES    Admin addresses of daemons, separated by commas.
  --timeout=SECONDS    Maximum time to wait, 1 to 3600 [default: 30].
  --json               Print JSON.
  --help               Show this help.
  --version            Show the version.

Exit codes: 0 done, 1 refused, unreachable or not found, 2 invalid arguments, file or bundle.
)";

using wagtailpick::settings::Arguments;
using wagtailpick::tool::kExitWrongInput;

std::vector<std::string> SplitAddresses(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

/// Parses a whole number from `min` to `max`; returns nothing for any other text.
std::optional<std::int64_t> ParseInteger(const std::string& text, std::int64_t min,
                                         std::int64_t max) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < min || value > max) {
    return std::nullopt;
  }
  return value;
}

int RunWait(const Arguments& arguments, const std::vector<std::string>& control) {
  constexpr std::int64_t kMaxVersion = std::int64_t{1} << 53;
  constexpr std::int64_t kMaxSeconds = 3'600;
  const auto version = ParseInteger(arguments.at("VERSION").asString(), 1, kMaxVersion);
  const auto timeout = ParseInteger(arguments.at("--timeout").asString(), 1, kMaxSeconds);
  if (!version || !timeout) {
    std::cerr
        << "wagtailpick: expected whole numbers above 0 for VERSION and --timeout, and at most "
           "3600 for --timeout\n";
    return kExitWrongInput;
  }
  return wagtailpick::tool::WaitForVersion(static_cast<std::uint64_t>(*version), control, *timeout);
}

int Run(const Arguments& arguments) {
  const auto is_set = [&](const char* name) { return arguments.at(name).asBool(); };
  const auto text = [&](const char* name) { return arguments.at(name).asString(); };
  const bool as_json = is_set("--json");
  if (is_set("keygen")) return wagtailpick::tool::MakeKeys(text("--out"));
  if (is_set("check")) return wagtailpick::tool::CheckBundle(text("BUNDLE"), as_json);
  if (is_set("sign")) {
    return wagtailpick::tool::SignBundle(text("BUNDLE"), text("--key"), text("--out"));
  }
  if (is_set("timeline")) {
    return wagtailpick::tool::ShowTimeline(SplitAddresses(text("--admin")), as_json);
  }
  if (is_set("explain")) {
    return wagtailpick::tool::ExplainRequest(text("ID"), arguments.at("FILE").asStringList(),
                                             as_json);
  }
  const auto control = SplitAddresses(text("--control"));
  if (is_set("submit")) {
    return wagtailpick::tool::SubmitBundle(text("SIGNED"), control, as_json);
  }
  if (is_set("wait")) return RunWait(arguments, control);
  return wagtailpick::tool::ShowStatus(control, as_json);
}

}  // namespace

int main(int argc, char** argv) {
  const wagtailpick::settings::CommandLine command_line{"wagtailpick", WAGTAILPICK_VERSION, kUsage};
  return wagtailpick::settings::RunCommandLine(command_line, argc, argv, Run);
}
