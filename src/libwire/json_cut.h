#pragma once

// Takes one large member out of a JSON object before the rest is parsed.

#include <string>
#include <string_view>

namespace ryefold::wire {

/// An object without one of its members.
struct CutObject {
  /// Text of the member's value, an object; empty when it was not found.
  std::string_view member;
  /// The whole with `null` in the member's place; only set when it was found.
  std::string rest;
};

/// Looks for the member `name` whose value is an object. Only strings and
/// brackets are followed, so that what is cut out cannot break out of a text
/// it is put into; all else about it is for its reader to judge. Text in which
/// these do not match is given back as not found, for a parser to refuse.
CutObject CutMember(std::string_view object, std::string_view name);

}  // namespace ryefold::wire
