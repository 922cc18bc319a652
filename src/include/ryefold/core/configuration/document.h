#pragma once

// Operators' documents and the changes that made them.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ryefold::core::configuration {

/// One key as it stands after its last change. A deleted key stays as a
/// document without text, so that the deletion travels like any change.
struct Document {
  std::string key;
  /// Revision of the change that last touched this key.
  uint64_t version = 0;
  std::optional<std::string> text;
  std::string change_id;
  std::string author;
  std::chrono::sys_seconds time{};

  bool operator==(const Document&) const = default;
};

/// What a change does to one key.
struct Edit {
  std::string key;
  /// Version of the key that the operator saw; 0 for a key never used.
  uint64_t base_version = 0;
  /// New text, nothing for a deletion.
  std::optional<std::string> text;

  bool operator==(const Edit&) const = default;
};

/// All edits of one change come into force together, at one revision.
struct Change {
  /// Chosen by the operator's tool. A lost reply is settled by finding this
  /// id in the store, never by guessing.
  std::string change_id;
  std::string author;
  std::chrono::sys_seconds time{};
  std::vector<Edit> edits;

  bool operator==(const Change&) const = default;
};

/// One step in the history of a key.
struct HistoryEntry {
  uint64_t version = 0;
  uint64_t base_version = 0;
  std::string change_id;
  std::string author;
  std::chrono::sys_seconds time{};
  std::optional<std::string> text;
};

/// A key that somebody else changed after the operator looked.
struct Conflict {
  std::string key;
  uint64_t seen = 0;
  uint64_t present = 0;

  bool operator==(const Conflict&) const = default;
};

}  // namespace ryefold::core::configuration
