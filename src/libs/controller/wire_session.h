#pragma once

#include <wagtailpick.pb.h>

#include <vector>

#include "base/result.h"
#include "control/session.h"
#include "control/shares.h"

namespace wagtailpick::controller {

/// Reads the session that a renewal is for. Fails with `kInvalidArgument` on bad addresses.
base::Result<control::Session> ToSession(const rpc::RenewRequest& request);

/// Tells whether an open session is that of the renewal, with nothing changed.
bool MatchesSession(const control::Session& session, const rpc::RenewRequest& request);

/// Fills in what other entries learn about a session.
void FillMember(const control::Session& session, rpc::Member& member);

/// Reads the shares that a renewal asks for.
std::vector<control::ServiceShare> ToDemands(const rpc::RenewRequest& request);

/// Writes a granted share.
void FillGrant(const control::ServiceShare& share, rpc::ShareGrant& grant);

}  // namespace wagtailpick::controller
