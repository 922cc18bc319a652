#pragma once

// The clock that deadlines and ages are measured on.

#include <chrono>

namespace ryefold::task {

/// Monotonic time that also counts while the machine is suspended. The steady
/// clock stands still in a suspension: a lease would seem to be held, and data
/// to be fresh, for as long as the machine slept. The value is only comparable
/// with others of this function.
std::chrono::steady_clock::time_point BootTime();

/// A time of `BootTime` on the steady clock, which sockets and timers go by: as
/// far ahead as it is now.
std::chrono::steady_clock::time_point OnSteadyClock(
    std::chrono::steady_clock::time_point boot_time);

}  // namespace ryefold::task
