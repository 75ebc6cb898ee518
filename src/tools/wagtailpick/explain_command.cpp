#include "wagtailpick/explain_command.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "wagtailpick/exit_codes.h"
#include "wagtailpick/text_file.h"

namespace wagtailpick::tool {
namespace {

using nlohmann::json;

constexpr const char* kProcessStarted = "process_started";
/// Changes the rate limit of an upstream, which holds beside its other state.
constexpr const char* kLimitChanged = "upstream_limit_changed";
/// Fields of a line that name an upstream: where the request went, or why it went elsewhere.
constexpr std::array kUpstreamFields{"upstream", "held_back_by"};
/// Events that change the routing state of a process for all requests. The last event of each kind
/// gives the current state.
constexpr std::array kRoutingStateEvents{kProcessStarted, "catalog_in_force", "evacuations_changed",
                                         "followed_replica_changed", "replica_lost"};
/// Events that change the state of one upstream, whose id is the message.
constexpr std::array kUpstreamStateEvents{"upstream_changed", "upstream_forgotten",
                                          "upstream_leaving", "upstream_wants_nothing",
                                          kLimitChanged};

/// One line of a log. `object` is its whole JSON object; the other members are taken from it.
struct LogLine {
  std::string time;
  std::string vm;
  std::string event;
  json object;

  std::string Field(const char* name) const { return object["context_map"].value(name, ""); }
  std::string Message() const { return object.value("message", ""); }
};

template <typename Names>
bool IsOneOf(const std::string& event, const Names& names) {
  return std::find(names.begin(), names.end(), event) != names.end();
}

/// Parses the lines of one log and appends them to `lines`; skips text that is not a log line.
void ParseLines(const std::string& content, std::vector<LogLine>& lines) {
  std::istringstream stream(content);
  std::string text;
  while (std::getline(stream, text)) {
    const auto begin = text.find('{');
    if (begin == std::string::npos) continue;
    json object =
        json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
    if (!object.is_object() || !object.contains("context_map")) continue;
    LogLine line;
    line.time = object.value("timestamp", "");
    line.vm = object["context_map"].value("vm", "");
    line.event = object["context_map"].value("event", "");
    line.object = std::move(object);
    lines.push_back(std::move(line));
  }
}

/// Returns the positions of the events that give the routing state of a process, and the state of
/// `upstreams`, at its line `first`, the first one about the request.
std::set<std::size_t> StateEventsBefore(const std::vector<LogLine>& lines, std::size_t first,
                                        const std::set<std::string>& upstreams) {
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < first; ++i) {
    const auto& line = lines[i];
    if (line.vm != lines[first].vm) continue;
    // A restarted process does not keep the state of the previous process.
    if (line.event == kProcessStarted) last.clear();
    if (IsOneOf(line.event, kRoutingStateEvents)) last[line.event] = i;
    if (IsOneOf(line.event, kUpstreamStateEvents) && upstreams.contains(line.Message())) {
      last[line.event == kLimitChanged ? kLimitChanged + line.Message() : line.Message()] = i;
    }
  }
  std::set<std::size_t> positions;
  for (const auto& [kind, position] : last) positions.insert(position);
  return positions;
}

void Print(const LogLine& line, bool as_json) {
  if (as_json) {
    std::cout << line.object << "\n";
    return;
  }
  std::cout << line.time << " " << line.vm << " " << line.event << ": " << line.Message();
  for (const auto& [name, value] : line.object["context_map"].items()) {
    if (name == "event" || name == "vm" || name == "request_id") continue;
    std::cout << " " << name << "="
              << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  std::cout << "\n";
}

}  // namespace

int ExplainRequest(const std::string& id, const std::vector<std::string>& files, bool as_json) {
  std::vector<LogLine> lines;
  for (const auto& file : files) {
    const auto content = ReadWholeFile(file);
    if (!content) {
      std::cerr << "wagtailpick: " << content.error().message << "\n";
      return kExitWrongInput;
    }
    ParseLines(content.value(), lines);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  std::set<std::size_t> selected;
  std::set<std::string> upstreams;
  std::map<std::string, std::size_t> first_of_vm;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].Field("request_id") != id) continue;
    selected.insert(i);
    for (const auto* field : kUpstreamFields) upstreams.insert(lines[i].Field(field));
    first_of_vm.try_emplace(lines[i].vm, i);
  }
  if (selected.empty()) {
    std::cerr << "wagtailpick: no log line has the request id " << id << "\n";
    return kExitRefused;
  }
  for (const auto& [vm, first] : first_of_vm) {
    selected.merge(StateEventsBefore(lines, first, upstreams));
  }
  for (const auto position : selected) Print(lines[position], as_json);
  return kExitDone;
}

}  // namespace wagtailpick::tool
