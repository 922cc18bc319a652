#pragma once

// What a Document keeps, for the sources that read it.

#include <json/json.h>

#include <string>
#include <string_view>

#include "ryefold/wire/document.h"

namespace ryefold::wire {

class Document::Impl {
 public:
  std::string source;
  std::string text;
  Json::Value root;
  Findings findings;
  bool ok = false;

  /// A finding at the place of `value`; of the whole document when null.
  Finding At(const Json::Value* value, std::string path, std::string problem,
             std::string allowed) const;
};

}  // namespace ryefold::wire
