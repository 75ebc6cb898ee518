#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "harness/child.h"
#include "harness/test_bundle.h"
#include "harness/work_folder.h"

namespace wagtailpick::processes {

/// How a run of the operator's command ended.
struct ToolResult {
  int exit_code = -1;
  std::string output;
  std::string errors;

  /// `outcome` of a submission's JSON; empty when it has none.
  std::string Outcome() const;
};

/// Runs the operator's command.
class OperatorTool {
 public:
  /// Makes a key pair in `folder`.
  explicit OperatorTool(const WorkFolder& folder);

  std::string public_key_file() const { return folder_.Path("operator.pub"); }

  /// Signs a bundle and returns the file with the signed one.
  std::string Sign(const BundleOptions& options);
  std::string Sign(std::uint64_t version, unsigned variant = 0) { return Sign({version, variant}); }

  /// A command that runs, and what its output files are called.
  struct Running {
    std::unique_ptr<Child> child;
    std::string name;
  };

  /// Starts `submit` of a signed bundle at the given control replicas, separated by commas.
  Running StartSubmit(const std::string& signed_file, const std::string& control);

  /// Waits for the end of a command.
  ToolResult Finish(const Running& running) const;

  /// Starts `submit` and waits for its end.
  ToolResult Submit(const std::string& signed_file, const std::string& control);

  /// Output of `status --json`, parsed, as text; empty when no leader answers.
  std::string StatusJson(const std::string& control);

 private:
  Running Run(const std::vector<std::string>& words);

  const WorkFolder& folder_;
  unsigned runs_ = 0;
};

}  // namespace wagtailpick::processes
