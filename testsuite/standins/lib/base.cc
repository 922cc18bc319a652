#include "testsuite/standins/lib/base.h"

#include <event2/event.h>

namespace ryefold::standins {

EventBase NewEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return EventBase(base, event_base_free);
}

}  // namespace ryefold::standins
