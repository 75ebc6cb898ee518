#pragma once

#include <grpcpp/support/status.h>

#include "base/error.h"

namespace wagtailpick::rpc {

/// Converts an error of ours to the status that a call fails with.
grpc::Status ToStatus(const base::Error& error);

/// Converts the status of a failed call to an error of ours.
base::Error ToError(const grpc::Status& status);

}  // namespace wagtailpick::rpc
