#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "harness/child.h"
#include "harness/test_bundle.h"
#include "harness/work_folder.h"

namespace wagtailpick::processes {

/// Result of a run of the operator's tool.
struct ToolResult {
  int exit_code = -1;
  std::string output;
  std::string errors;

  /// `outcome` of a submission's JSON; empty when it has none.
  std::string Outcome() const;
};

/// Runs the operator's tool (`wagtailpick`).
class OperatorTool {
 public:
  /// Generates a key pair in `folder`, which must outlive this object; throws on failure.
  explicit OperatorTool(const WorkFolder& folder);

  std::string public_key_file() const { return folder_.Path("operator.pub"); }

  /// Signs a test bundle and returns the path of the signed file; throws on failure.
  std::string Sign(const BundleOptions& options);
  std::string Sign(std::uint64_t version, unsigned variant = 0) { return Sign({version, variant}); }

  /// A running command and the base name of its output files.
  struct Running {
    std::unique_ptr<Child> child;
    std::string name;
  };

  /// Starts `submit` of a signed bundle at the given control replicas, separated by commas.
  Running StartSubmit(const std::string& signed_file, const std::string& control);

  /// Waits until a command ends; throws after `kWaitLimit`.
  ToolResult Finish(const Running& running) const;

  /// Runs `submit` and returns its result.
  ToolResult Submit(const std::string& signed_file, const std::string& control);

  /// Output of `status --json` as text; empty if no leader answers.
  std::string StatusJson(const std::string& control);

 private:
  Running Run(const std::vector<std::string>& words);

  const WorkFolder& folder_;
  unsigned runs_ = 0;
};

}  // namespace wagtailpick::processes
