#pragma once

// The clock for deadlines and ages.

#include <chrono>

namespace ryefold::task {

/// Returns monotonic time that also advances while the machine is suspended.
/// The steady clock stops then: a lease would appear to be held, and data to be
/// fresh, for as long as the suspension lasts. The value is only comparable
/// with others of this function.
std::chrono::steady_clock::time_point BootTime();

/// Converts a time of `BootTime` to the steady clock, which sockets and timers
/// use, keeping its distance from now.
std::chrono::steady_clock::time_point ToSteadyClock(
    std::chrono::steady_clock::time_point boot_time);

}  // namespace ryefold::task
