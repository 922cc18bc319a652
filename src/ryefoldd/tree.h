#pragma once

// The daemon's supervisor tree.

#include "ryefold/task/supervisor.h"
#include "ryefoldd/messages.h"

namespace ryefold::ryefoldd {

/// Adds control, keeper and entry, which start in this order and stop in
/// reverse: the callers' port is the last to open and the first to close.
/// `keeper` makes the keeper task; tests put in one that fails.
void FillTree(task::Supervisor* supervisor, Wiring* wiring,
              task::Supervisor::Factory keeper);

}  // namespace ryefold::ryefoldd
