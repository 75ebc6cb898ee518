#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "base/result.h"
#include "claims/claim_messages.h"
#include "claims/record.h"

namespace wagtailpick::rpc {

/// Conversions of claim records and messages to and from protobuf messages, which are sent and, for
/// records, stored on disk. `FromWire` fails with `kInvalidArgument` when a byte field has the
/// wrong length, an enum value or the number of a replica is unknown, or a time is none that a
/// clock shows; the message starts with the name of the field.
ClaimRecord ToWire(const claims::Record& record);
base::Result<claims::Record> FromWire(const ClaimRecord& wire);

ClaimRequest ToWire(const claims::ClaimRequest& request);
base::Result<claims::ClaimRequest> FromWire(const ClaimRequest& wire);
ClaimReply ToWire(const claims::ClaimReply& reply);
base::Result<claims::ClaimReply> FromWire(const ClaimReply& wire);

CompleteRequest ToWire(const claims::CompleteRequest& request);
base::Result<claims::CompleteRequest> FromWire(const CompleteRequest& wire);
ReleaseRequest ToWire(const claims::ReleaseRequest& request);
base::Result<claims::ReleaseRequest> FromWire(const ReleaseRequest& wire);

CopyRequest ToWire(const claims::CopyRequest& request);
base::Result<claims::CopyRequest> FromWire(const CopyRequest& wire);
CopyReply ToWire(const claims::CopyPage& page);
base::Result<claims::CopyPage> FromWire(const CopyReply& wire);

}  // namespace wagtailpick::rpc
