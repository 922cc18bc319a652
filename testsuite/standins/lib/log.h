#pragma once

// The log of one database: entries in order, with the start of each term.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::standins {

enum class EntryKind : uint8_t { kStatement, kTransaction, kFence, kTermStart };

std::string_view EntryKindName(EntryKind kind);
std::optional<EntryKind> EntryKindFromName(std::string_view name);

struct LoggedStatement {
  std::string sql;
  std::string params_json = "[]";
};

struct Entry {
  core::LogPosition position;
  EntryKind kind = EntryKind::kStatement;
  std::string workspace;
  std::string request_id;
  /// Whether `(workspace, request_id)` is kept with the result.
  bool record = false;
  std::vector<LoggedStatement> statements;
  std::string result_json;
  /// When the primary wrote it; the machine's monotonic clock.
  core::TimePoint written;
  /// JSON form, made once and shipped to every replica.
  std::string json;
};

/// Fills `entry->json` from its other members.
void Serialise(Entry* entry);

class Log {
 public:
  /// Position of the last entry; {0,0} for an empty log.
  core::LogPosition last() const;
  const std::vector<Entry>& entries() const { return entries_; }
  const std::vector<core::TermStart>& term_starts() const { return starts_; }

  /// Term of the entry at `index`; 0 when there is none.
  uint64_t TermAt(uint64_t index) const;
  /// Whether the entry at this position is here; true for {0,0}.
  bool Holds(const core::LogPosition& position) const;

  /// The entry's index must be the next one.
  void Append(Entry entry);
  /// Keeps entries up to and including `index`.
  void CutAfter(uint64_t index);

  /// The last position that this log shares with one that has these term
  /// starts and ends at `other_last`. Two logs that agree on the term of an
  /// index agree on everything up to it.
  core::LogPosition CommonWith(const std::vector<core::TermStart>& starts,
                               const core::LogPosition& other_last) const;

 private:
  std::vector<Entry> entries_;
  std::vector<core::TermStart> starts_;
};

}  // namespace ryefold::standins
