#include "rpc/status_codes.h"

#include <algorithm>
#include <array>

namespace wagtailpick::rpc {
namespace {

struct CodeMapping {
  base::ErrorCode error;
  grpc::StatusCode status;
};

constexpr std::array<CodeMapping, 8> kCodeMappings{{
    {base::ErrorCode::kInvalidArgument, grpc::StatusCode::INVALID_ARGUMENT},
    {base::ErrorCode::kNotFound, grpc::StatusCode::NOT_FOUND},
    {base::ErrorCode::kConflict, grpc::StatusCode::ABORTED},
    {base::ErrorCode::kUnavailable, grpc::StatusCode::UNAVAILABLE},
    {base::ErrorCode::kDeadlineExceeded, grpc::StatusCode::DEADLINE_EXCEEDED},
    {base::ErrorCode::kCorrupt, grpc::StatusCode::DATA_LOSS},
    {base::ErrorCode::kIo, grpc::StatusCode::INTERNAL},
    {base::ErrorCode::kLimitExceeded, grpc::StatusCode::RESOURCE_EXHAUSTED},
}};

}  // namespace

grpc::Status ToStatus(const base::Error& error) {
  const auto* mapping =
      std::find_if(kCodeMappings.begin(), kCodeMappings.end(),
                   [&](const CodeMapping& row) { return row.error == error.code; });
  return {mapping->status, error.message};
}

base::Error ToError(const grpc::Status& status) {
  const auto* mapping =
      std::find_if(kCodeMappings.begin(), kCodeMappings.end(),
                   [&](const CodeMapping& row) { return row.status == status.error_code(); });
  const auto code = mapping == kCodeMappings.end() ? base::ErrorCode::kUnavailable : mapping->error;
  return {code, status.error_message()};
}

}  // namespace wagtailpick::rpc
