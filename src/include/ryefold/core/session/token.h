#pragma once

// Session tokens: what a caller's session has seen, carried by the caller.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Groups whose positions one token carries, and the longest name of one.
inline constexpr size_t kMaxGroups = 64;
inline constexpr size_t kMaxGroupName = 128;

/// Position seen in each group that the session has touched. No instance
/// keeps any of it, so the loss of an instance costs a session nothing.
struct Token {
  /// At most `kMaxGroups`; the groups touched first keep their places.
  std::map<std::string, LogPosition> seen;
  /// The session has touched a group that did not fit into `seen`. Forgetting
  /// that would let a later read there miss the session's own write, which the
  /// caller would notice as a saved record that is gone again. So nothing is
  /// dropped, and reads of every group not listed have to be current instead.
  bool overflow = false;

  bool operator==(const Token&) const = default;
};

/// Opaque text form, safe in JSON and in headers.
std::string Encode(const Token& token);

/// The token behind `text`; an empty text is an empty token, a damaged one is
/// nothing at all.
std::optional<Token> Decode(std::string_view text);

/// Raises the position of `group` to `position`, never lowers it. A group that
/// does not fit any more sets `overflow` instead.
void Advance(Token* token, const std::string& group,
             const LogPosition& position);

/// What a read of one group has to show to a session.
struct Need {
  LogPosition seen;
  /// The position was not kept: only data of age 0 surely holds what the
  /// session has written, since that covers every acknowledged write.
  bool current = false;
};

/// What `token` asks of a read of `group`.
Need NeedOf(const Token& token, const std::string& group);

/// Cuts `position` back to what still exists. `starts` are the terms known in
/// the group, oldest first: a position at or beyond the start of a newer term
/// names entries that a promotion discarded, which no database will ever hold;
/// the result is the last entry before that term. Waiting for the original
/// position would last forever. No acknowledged write is cut off: a newer term
/// begins only after everything that a majority held.
LogPosition CutBack(const LogPosition& position,
                    const std::vector<TermStart>& starts);

/// Whether a database whose log ends at `last`, with these term starts, holds
/// everything up to `position`.
bool Covers(const LogPosition& last, const std::vector<TermStart>& starts,
            const LogPosition& position);

}  // namespace ryefold::core::session
