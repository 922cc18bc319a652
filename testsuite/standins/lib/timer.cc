#include "testsuite/standins/lib/timer.h"

#include <event2/event.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace ryefold::standins {

void After(event_base* base, std::chrono::microseconds delay,
           std::function<void()> work) {
  const auto micros =
      std::max(delay, std::chrono::microseconds::zero()).count();
  const timeval wait{micros / 1000000, micros % 1000000};
  auto* held = new std::function<void()>(std::move(work));
  event_base_once(
      base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* context) {  // NOLINT(google-runtime-int)
        const std::unique_ptr<std::function<void()>> owned(
            static_cast<std::function<void()>*>(context));
        (*owned)();
      },
      held, &wait);
}

}  // namespace ryefold::standins
