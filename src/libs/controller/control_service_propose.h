#pragma once

#include <utility>
#include <variant>

#include "control/command_codec.h"
#include "controller/control_service.h"

namespace wagtailpick::controller {

// Shared by the source files of `ControlService`; not for use elsewhere. Proposes `command` and
// calls `done` with its outcome once it is applied, or with the log's error.
template <typename Outcome>
void ControlService::Propose(const control::Command& command,
                             std::function<void(base::Result<Outcome>)> done) {
  log_->Propose(control::EncodeCommand(command), [this, done](const base::Result<void>& proposed) {
    if (!proposed) return done(boost::outcome_v2::failure(proposed.error()));
    if (!last_outcome_) return done(boost::outcome_v2::failure(last_outcome_.error()));
    done(std::get<Outcome>(last_outcome_.value()));
  });
}

}  // namespace wagtailpick::controller
