#pragma once

// Session tokens: the log positions that a session has seen, carried by the
// caller.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Maximum number of groups in one token, and maximum length of a group's name
/// in bytes.
inline constexpr size_t kMaxGroups = 64;
inline constexpr size_t kMaxGroupName = 128;

/// Position seen in each group that the session has used. No instance stores
/// it, so the loss of an instance does not affect the session's consistency.
struct Token {
  /// At most `kMaxGroups` entries; the first groups used are kept.
  std::map<std::string, LogPosition> seen;
  /// The session has used a group that did not fit into `seen`. If that were
  /// not recorded, a later read of the group could miss the session's own
  /// write. Instead, reads of every group that is not listed must return
  /// current data.
  bool overflow = false;

  bool operator==(const Token&) const = default;
};

/// Returns an opaque text form, safe in JSON and in HTTP headers.
std::string Encode(const Token& token);

/// Returns the token encoded in `text`; an empty text is an empty token.
/// Returns nullopt if the text is damaged.
std::optional<Token> Decode(std::string_view text);

/// Raises the position of `group` to `position`, never lowers it. Sets
/// `overflow` if the group does not fit.
void Advance(Token* token, const std::string& group,
             const LogPosition& position);

/// What a session requires of a read of one group.
struct ReadRequirement {
  LogPosition seen;
  /// The position was not recorded, so only data of age 0, which holds every
  /// acknowledged write, is certain to hold the session's writes.
  bool must_be_current = false;
};

/// Returns what `token` requires of a read of `group`.
ReadRequirement RequirementOf(const Token& token, const std::string& group);

/// Limits `position` to entries that still exist. `starts` are the known terms
/// of the group, oldest first. A position at or after the start of a newer term
/// refers to entries discarded by a promotion; the result is then the last
/// entry before that term, since a read that waits for a discarded entry never
/// completes. No acknowledged write is excluded: a newer term starts after
/// every entry that a majority held.
LogPosition LimitToExisting(const LogPosition& position,
                            const std::vector<TermStart>& starts);

/// Returns whether a database whose log ends at `last`, with these term starts,
/// holds all entries up to `position`.
bool Covers(const LogPosition& last, const std::vector<TermStart>& starts,
            const LogPosition& position);

}  // namespace ryefold::core::session
