#pragma once

// Configuration documents and the changes that produce them.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ryefold::core::configuration {

/// The state of one key after its last change. A deleted key remains as a
/// document without text, so that the deletion is replicated like any other
/// change.
struct Document {
  std::string key;
  /// Revision of the last change to this key.
  uint64_t version = 0;
  std::optional<std::string> text;
  std::string change_id;
  std::string author;
  std::chrono::sys_seconds time{};

  bool operator==(const Document&) const = default;
};

/// The effect of a change on one key.
struct Edit {
  std::string key;
  /// Version of the key that the operator read; 0 for a key that never existed.
  uint64_t base_version = 0;
  /// New text; nullopt deletes the key.
  std::optional<std::string> text;

  bool operator==(const Edit&) const = default;
};

/// A set of edits that take effect atomically, at one revision.
struct Change {
  /// Chosen by the client. After a lost reply, the outcome is determined by
  /// looking up this id in the store.
  std::string change_id;
  std::string author;
  std::chrono::sys_seconds time{};
  std::vector<Edit> edits;

  bool operator==(const Change&) const = default;
};

/// One version in the history of a key.
struct HistoryEntry {
  uint64_t version = 0;
  uint64_t base_version = 0;
  std::string change_id;
  std::string author;
  std::chrono::sys_seconds time{};
  std::optional<std::string> text;
};

/// A key whose version differs from the one that the operator read.
struct Conflict {
  std::string key;
  uint64_t seen = 0;
  uint64_t present = 0;

  bool operator==(const Conflict&) const = default;
};

}  // namespace ryefold::core::configuration
