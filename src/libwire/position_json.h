#pragma once

// Log positions in JSON, as `{"term":T,"index":I}`.

#include <string_view>

#include "json_text.h"
#include "json_value.h"
#include "ryefold/core/types.h"

namespace ryefold::wire {

inline void WritePosition(ObjectWriter* writer, std::string_view name,
                          const core::LogPosition& position) {
  ObjectWriter(writer->Member(name))
      .Uint("term", position.term)
      .Uint("index", position.index)
      .Finish();
}

inline void ReadPosition(Fields* fields, std::string_view name,
                         core::LogPosition* position) {
  Fields inner(fields->text(), fields->Find(name));
  inner.Uint("term", &position->term).Uint("index", &position->index);
  if (!inner.ok()) fields->Spoil();
}

}  // namespace ryefold::wire
