#pragma once

// Bodies between instances: one msgpack value each.

#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace ryefold::wire {

template <class Value>
std::string Pack(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

/// Unknown keys of maps are skipped and missing ones keep their defaults.
template <class Value>
bool Unpack(std::string_view body, Value* value) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size());
    handle.get().convert(*value);
    return true;
  } catch (const std::exception&) {
    // The caller reports what it could not read.
    return false;
  }
}

}  // namespace ryefold::wire
