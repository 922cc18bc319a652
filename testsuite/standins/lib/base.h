#pragma once

// The event base of a stand-in's one thread.

#include <memory>

struct event_base;

namespace ryefold::standins {

using EventBase = std::unique_ptr<event_base, void (*)(event_base*)>;

/// A base that tells the kernel of changed interests once a turn: evhttp stops
/// and starts reading for every request, mostly within one turn.
EventBase NewEventBase();

}  // namespace ryefold::standins
