#include "harness/operator_tool.h"

#include <nlohmann/json.hpp>

#include "harness/expect.h"

namespace wagtailpick::processes {

std::string ToolResult::Outcome() const {
  const auto json = nlohmann::json::parse(output, nullptr, false);
  return json.is_object() ? json.value("outcome", "") : "";
}

OperatorTool::OperatorTool(const WorkFolder& folder) : folder_(folder) {
  const auto made = Finish(Run({"keygen", "--out=" + folder.Path("operator")}));
  Expect(made.exit_code == 0, "keygen: " + made.errors);
}

std::string OperatorTool::Sign(const BundleOptions& options) {
  const std::string name =
      "bundle-" + std::to_string(options.version) + "-" + std::to_string(options.variant);
  const std::string file = folder_.Write(name + ".json", TestBundle(options));
  std::string signed_file = folder_.Path(name + ".signed");
  const auto done =
      Finish(Run({"sign", file, "--key=" + folder_.Path("operator.key"), "--out=" + signed_file}));
  Expect(done.exit_code == 0, "sign: " + done.errors);
  return signed_file;
}

OperatorTool::Running OperatorTool::StartSubmit(const std::string& signed_file,
                                                const std::string& control) {
  return Run({"submit", signed_file, "--control=" + control, "--json"});
}

ToolResult OperatorTool::Finish(const Running& running) const {
  ToolResult result;
  result.exit_code = running.child->Wait();
  result.output = folder_.Read(running.name + ".out");
  result.errors = folder_.Read(running.name + ".err");
  return result;
}

ToolResult OperatorTool::Submit(const std::string& signed_file, const std::string& control) {
  return Finish(StartSubmit(signed_file, control));
}

std::string OperatorTool::StatusJson(const std::string& control) {
  return Finish(Run({"status", "--control=" + control, "--json"})).output;
}

OperatorTool::Running OperatorTool::Run(const std::vector<std::string>& words) {
  Running running;
  running.name = "tool-" + std::to_string(++runs_);
  std::vector<std::string> all{WAGTAILPICK_TOOL};
  all.insert(all.end(), words.begin(), words.end());
  running.child = std::make_unique<Child>(all, folder_.Path(running.name + ".out"),
                                          folder_.Path(running.name + ".err"));
  return running;
}

}  // namespace wagtailpick::processes
