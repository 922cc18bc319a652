#pragma once

// What instances ask each other about changes in the store.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
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
  /// The asking instance reads packed answers.
  bool accepts_packed = true;
};

std::string WriteRelayQuestion(const RelayQuestion& question);
std::optional<RelayQuestion> ReadRelayQuestion(std::string_view body);

/// Large values travel as the difference to what the other side holds, and the
/// whole is compressed. The age of the relay's copy is reckoned at `now`.
std::string WriteRelayAnswer(core::TimePoint now,
                             const core::mirror::RelayAnswer& answer);

/// Encodes the answers of a relay. Its listeners are mostly in step, so the
/// changes are encoded and compressed once for all answers with the same ones.
class RelayAnswerWriter {
 public:
  std::string Write(core::TimePoint now,
                    const core::mirror::RelayAnswer& answer);
  /// Returns how often changes were encoded.
  uint64_t packed_count() const { return packed_count_; }

 private:
  /// Digest of the copy that the packed changes lead to.
  uint64_t digest_ = 0;
  /// Packed changes by the revision since which they are.
  std::map<uint64_t, std::string> packed_;
  uint64_t packed_count_ = 0;
};

/// The entry that this side holds under a key; null when it holds none.
using EntryLookup =
    std::function<const core::mirror::Entry*(const std::string& key)>;

/// `kHistoryCompacted` when a difference is to a value that this side does not
/// hold.
core::mirror::ReadResult ReadRelayAnswer(std::string_view body,
                                         const EntryLookup& lookup);

}  // namespace ryefold::wire
