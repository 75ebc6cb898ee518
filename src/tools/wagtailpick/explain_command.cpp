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

/// Events that change what a process believes about all requests; the last of each counts.
constexpr const char* kStart = "process_started";
constexpr std::array kBeliefs{kStart, "catalog_in_force", "evacuations_changed",
                              "followed_replica_changed", "replica_lost"};
/// Events whose message names the upstream that they are about.
constexpr std::array kUpstreamBeliefs{"upstream_changed", "upstream_forgotten", "upstream_leaving",
                                      "upstream_wants_nothing"};

/// A line of a log.
struct LogLine {
  std::string time;
  std::string vm;
  std::string event;
  json whole;

  std::string Field(const char* name) const { return whole["context_map"].value(name, ""); }
  std::string Message() const { return whole.value("message", ""); }
};

template <typename Names>
bool IsOneOf(const std::string& event, const Names& names) {
  return std::find(names.begin(), names.end(), event) != names.end();
}

/// Adds the lines of one log; what isn't a log line is left out.
void ReadLines(const std::string& content, std::vector<LogLine>& lines) {
  std::istringstream stream(content);
  std::string text;
  while (std::getline(stream, text)) {
    const auto begin = text.find('{');
    if (begin == std::string::npos) continue;
    json whole =
        json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
    if (!whole.is_object() || !whole.contains("context_map")) continue;
    LogLine line;
    line.time = whole.value("timestamp", "");
    line.vm = whole["context_map"].value("vm", "");
    line.event = whole["context_map"].value("event", "");
    line.whole = std::move(whole);
    lines.push_back(std::move(line));
  }
}

/// Positions of the last belief of each kind that a process held before the request's first line.
std::set<std::size_t> BeliefsBefore(const std::vector<LogLine>& lines, std::size_t first,
                                    const std::set<std::string>& upstreams) {
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < first; ++i) {
    const auto& line = lines[i];
    if (line.vm != lines[first].vm) continue;
    // A process that has just started believes nothing of what its predecessor did.
    if (line.event == kStart) last.clear();
    if (IsOneOf(line.event, kBeliefs)) last[line.event] = i;
    if (IsOneOf(line.event, kUpstreamBeliefs) && upstreams.contains(line.Message())) {
      last[line.Message()] = i;
    }
  }
  std::set<std::size_t> positions;
  for (const auto& [kind, position] : last) positions.insert(position);
  return positions;
}

void Print(const LogLine& line, bool as_json) {
  if (as_json) {
    std::cout << line.whole << "\n";
    return;
  }
  std::cout << line.time << " " << line.vm << " " << line.event << ": " << line.Message();
  for (const auto& [name, value] : line.whole["context_map"].items()) {
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
    ReadLines(content.value(), lines);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  std::set<std::size_t> chosen;
  std::set<std::string> upstreams;
  std::map<std::string, std::size_t> first_of_vm;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].Field("request_id") != id) continue;
    chosen.insert(i);
    upstreams.insert(lines[i].Field("upstream"));
    first_of_vm.try_emplace(lines[i].vm, i);
  }
  if (chosen.empty()) {
    std::cerr << "wagtailpick: no line of the logs names request " << id << "\n";
    return kExitRefused;
  }
  for (const auto& [vm, first] : first_of_vm) {
    chosen.merge(BeliefsBefore(lines, first, upstreams));
  }
  for (const auto position : chosen) Print(lines[position], as_json);
  return kExitDone;
}

}  // namespace wagtailpick::tool
