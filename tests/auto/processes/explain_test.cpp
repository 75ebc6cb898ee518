#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "harness/child.h"
#include "harness/expect.h"
#include "harness/work_folder.h"

using wagtailpick::processes::Child;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WorkFolder;

namespace {

constexpr int kExitRefused = 1;
constexpr int kExitInvalidInput = 2;

std::string Line(const std::string& second, const std::string& vm, const std::string& event,
                 const std::string& message, const std::string& fields = "") {
  return R"({ "timestamp": "2026-12-04 07:00:)" + second + R"(", "message": ")" + message +
         R"(", "context_map": { "event": ")" + event + R"(", "vm": ")" + vm + "\"" + fields +
         " } }\n";
}

std::string RequestFields(const std::string& id, const std::string& upstream) {
  return R"(, "request_id": ")" + id + R"(", "upstream": ")" + upstream + "\"";
}

}  // namespace

// Guards against an explanation that omits the state that decided a request (the catalog and the
// state of its upstream), or that includes state of another process, an earlier run or a later
// time.
Test(explain, shows_request_events_with_state_of_their_process) {
  RunTest([] {
    const WorkFolder folder;
    const std::string entry = folder.Write(
        "e.log", Line("00,500", "e", "evacuations_changed", "dc-1") +
                     Line("00,900", "e", "process_started", "entry") +
                     Line("01,000", "e", "catalog_in_force", "4") +
                     Line("02,000", "e", "catalog_in_force", "5") +
                     Line("03,000", "e", "upstream_changed", "i-1", R"(, "state": "ready")") +
                     Line("03,500", "e", "upstream_changed", "i-2", R"(, "state": "ready")") +
                     "not a log line {\n" +
                     Line("04,000", "e", "request_sent", "to a", RequestFields("r1", "i-1")) +
                     Line("04,100", "e", "request_sent", "to b", RequestFields("r2", "i-2")) +
                     Line("05,000", "e", "upstream_changed", "i-1", R"(, "state": "left")"));
    const std::string other = folder.Write(
        "o.log", "  12.5 o " + Line("03,900", "o", "catalog_in_force", "9") +
                     Line("04,500", "o", "request_ended", "failed", RequestFields("r1", "i-1")));
    const auto explain = [&](const std::vector<std::string>& rest) {
      std::vector<std::string> words{WAGTAILPICK_TOOL, "explain"};
      words.insert(words.end(), rest.begin(), rest.end());
      Child tool(words, folder.Path("out"), folder.Path("err"));
      return tool.Wait();
    };
    Expect(explain({"r1", other, entry}) == 0, folder.Read("err"));
    Expect(folder.Read("out") ==
               "2026-12-04 07:00:00,900 e process_started: entry\n"
               "2026-12-04 07:00:02,000 e catalog_in_force: 5\n"
               "2026-12-04 07:00:03,000 e upstream_changed: i-1 state=ready\n"
               "2026-12-04 07:00:03,900 o catalog_in_force: 9\n"
               "2026-12-04 07:00:04,000 e request_sent: to a upstream=i-1\n"
               "2026-12-04 07:00:04,500 o request_ended: failed upstream=i-1\n",
           folder.Read("out"));
    Expect(explain({"r3", entry}) == kExitRefused, "an unknown request was explained");
    Expect(explain({"r1", folder.Path("none")}) == kExitInvalidInput, "a missing file was read");
  });
}

// Guards against an explanation that omits why a request went to another upstream than the one that
// its object prefers: the limit of that upstream, and when the entry learned of it.
Test(explain, shows_the_limit_that_held_a_request_back) {
  RunTest([] {
    const WorkFolder folder;
    const std::string limit = R"(, "limit_per_s": "2.40", "change": "started")";
    const std::string held_back = R"(, "held_back_by": "i-2", "held_back_limit_per_s": "2.40")";
    const std::string entry = folder.Write(
        "e.log",
        Line("01,000", "e", "upstream_changed", "i-2", R"(, "state": "ready")") +
            Line("02,000", "e", "upstream_limit_changed", "i-2", limit) +
            Line("04,000", "e", "request_sent", "to a", RequestFields("r1", "i-1") + held_back));
    Child tool({WAGTAILPICK_TOOL, "explain", "r1", entry}, folder.Path("out"), folder.Path("err"));
    Expect(tool.Wait() == 0, folder.Read("err"));
    Expect(folder.Read("out") ==
               "2026-12-04 07:00:01,000 e upstream_changed: i-2 state=ready\n"
               "2026-12-04 07:00:02,000 e upstream_limit_changed: i-2 change=started "
               "limit_per_s=2.40\n"
               "2026-12-04 07:00:04,000 e request_sent: to a held_back_by=i-2 "
               "held_back_limit_per_s=2.40 upstream=i-1\n",
           folder.Read("out"));
  });
}
