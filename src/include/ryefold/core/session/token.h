#pragma once

// Session tokens: what a caller's session has seen, carried by the caller.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Position seen in each group that the session has touched. No instance
/// keeps any of it, so the loss of an instance costs a session nothing.
struct Token {
  std::map<std::string, LogPosition> seen;

  bool operator==(const Token&) const = default;
};

/// Opaque text form, safe in JSON and in headers.
std::string Encode(const Token& token);

/// The token behind `text`; an empty text is an empty token, a damaged one is
/// nothing at all.
std::optional<Token> Decode(std::string_view text);

/// Raises the position of `group` to `position`, never lowers it.
void Advance(Token* token, const std::string& group,
             const LogPosition& position);

/// Cuts `position` back to what still exists. `starts` are the terms known in
/// the group, oldest first: a position at or beyond the start of a newer term
/// names entries that a promotion discarded, which no database will ever hold;
/// the result is the last entry before that term. Waiting for the original
/// position would last forever.
LogPosition CutBack(const LogPosition& position,
                    const std::vector<TermStart>& starts);

/// Whether a database whose log ends at `last`, with these term starts, holds
/// everything up to `position`.
bool Covers(const LogPosition& last, const std::vector<TermStart>& starts,
            const LogPosition& position);

}  // namespace ryefold::core::session
