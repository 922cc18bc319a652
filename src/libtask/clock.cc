#include "ryefold/task/clock.h"

#include <time.h>

namespace ryefold::task {

std::chrono::steady_clock::time_point BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::steady_clock::time_point(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::chrono::steady_clock::time_point ToSteadyClock(
    std::chrono::steady_clock::time_point boot_time) {
  return std::chrono::steady_clock::now() + (boot_time - BootTime());
}

}  // namespace ryefold::task
