#pragma once

// What instances ask each other about changes in the store.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/mirror/entry.h"
#include "ryefold/core/mirror/relay.h"

namespace ryefold::wire {

constexpr std::string_view kPeerMirror = "/peer/mirror";

struct RelayQuestion {
  /// Store revision that the asking instance has read up to; 0: nothing.
  uint64_t after = 0;
  std::chrono::milliseconds wait{0};
  /// Any recent copy will do, also of an instance that is no relay.
  bool any_copy = false;
};

std::string WriteRelayQuestion(const RelayQuestion& question);
std::optional<RelayQuestion> ReadRelayQuestion(std::string_view body);

/// Large values travel as the difference to what the other side holds, and the
/// whole is compressed. The age of the relay's copy is reckoned at `now`.
std::string WriteRelayAnswer(core::TimePoint now,
                             const core::mirror::RelayAnswer& answer);

/// All entries, compressed, for several answers with the same copy.
std::string PackEntries(const core::mirror::EntryMap& entries);
/// An answer with `RelayAnswer::copy` set and the entries in packed form.
std::string WriteCopyAnswer(core::TimePoint now,
                            const core::mirror::RelayAnswer& answer,
                            const std::string& packed_entries);

/// The entry that this side holds under a key; null when it holds none.
using EntryLookup =
    std::function<const core::mirror::Entry*(const std::string& key)>;

/// `kHistoryCompacted` when a difference is to a value that this side does not
/// hold.
core::mirror::ReadResult ReadRelayAnswer(std::string_view body,
                                         const EntryLookup& lookup);

}  // namespace ryefold::wire
