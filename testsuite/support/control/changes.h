#pragma once

// Changes that the tests publish.

#include <string>

#include "ryefold/core/configuration/document.h"

namespace ryefold::testing::control {

/// Returns a change with one edit; an empty text deletes the key.
inline core::configuration::Change ChangeOf(const std::string& id,
                                            const std::string& key,
                                            uint64_t base,
                                            const std::string& text) {
  core::configuration::Change change;
  change.change_id = id;
  change.author = "operator";
  core::configuration::Edit edit;
  edit.key = key;
  edit.base_version = base;
  if (!text.empty()) edit.text = text;
  change.edits = {edit};
  return change;
}

}  // namespace ryefold::testing::control
