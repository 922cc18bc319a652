#pragma once

// One-shot timers on a libevent base.

#include <chrono>
#include <functional>

struct event_base;

namespace ryefold::standins {

/// Runs `work` once, `delay` from now. It cannot be cancelled: what it refers
/// to has to live as long as the base.
void After(event_base* base, std::chrono::microseconds delay,
           std::function<void()> work);

}  // namespace ryefold::standins
