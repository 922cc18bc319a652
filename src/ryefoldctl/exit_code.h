#pragma once

namespace ryefold::ryefoldctl {

/// What the program's exit code tells a script.
enum ExitCode : int {
  kExitOk = 0,
  /// Findings in a file, or a conflict with somebody else's change.
  kExitFindings = 1,
  kExitUsage = 2,
  /// No instance could be reached, or none knows what is in force.
  kExitUnreachable = 3,
  kExitTimeout = 4,
};

}  // namespace ryefold::ryefoldctl
