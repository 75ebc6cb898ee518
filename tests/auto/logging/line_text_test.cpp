#include <criterion/criterion.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "logging/log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kMaxLineBytes = 8'000;

/// Path of a new file that no other process uses.
std::string NewFile() {
  std::string path = "/tmp/wagtailpick-log-XXXXXX";
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  close(file);
  return path;
}

}  // namespace

// Guards against a line that is as long as the text from outside that it quotes, and against one
// that no reader of JSON accepts.
Test(logging, every_line_is_json_whatever_it_quotes) {
  const std::vector<std::string> texts{
      "\xff",        "\x1b[31m", "a\nb", std::string("\0x", 2),
      "\"\\",        "\xc3(",    "\x7f", std::string(50'000, '\xff'),
      "\xe2\x82\xac"};
  const auto path = NewFile();
  cr_assert(logging::Start({"vm", "dc", path, false}).has_value());
  for (const auto& text : texts) {
    logging::Write(logging::Level::kInfo, "request_ended", text, {{"request_id", text}});
  }
  std::ifstream file(path);
  std::size_t lines = 0;
  for (std::string line; std::getline(file, line); ++lines) {
    cr_expect(nlohmann::json::accept(line), "%s", line.substr(0, 200).c_str());
    cr_expect(line.size() < kMaxLineBytes);
  }
  cr_expect(lines == texts.size());
  unlink(path.c_str());
}
