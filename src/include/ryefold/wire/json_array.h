#pragma once

// Takes a large array out of a JSON object as texts of its elements, so that
// only those that have changed need to be parsed.

#include <string>
#include <string_view>
#include <vector>

namespace ryefold::wire {

/// An object without one of its members, an array of objects.
struct CutArray {
  bool found = false;
  /// Texts of the array's elements, in order; parts of the text that was cut.
  std::vector<std::string_view> elements;
  /// The object with `null` in the array's place.
  std::string rest;
};

/// Looks for the member `name` whose value is an array of objects. Only strings
/// and brackets are followed; the texts are for a parser to judge. Not found if
/// these do not match, or if the array holds anything else.
CutArray CutObjects(std::string_view object, std::string_view name);

}  // namespace ryefold::wire
