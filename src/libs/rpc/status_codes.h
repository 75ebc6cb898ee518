#pragma once

#include <grpcpp/support/status.h>

#include "base/error.h"

namespace wagtailpick::rpc {

/// Converts an error to the gRPC status with which a call fails.
grpc::Status ToStatus(const base::Error& error);

/// Converts the gRPC status of a failed call to an error; status codes without a counterpart become
/// `kUnavailable`.
base::Error ToError(const grpc::Status& status);

}  // namespace wagtailpick::rpc
