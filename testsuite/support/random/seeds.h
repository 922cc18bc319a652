#pragma once

// Which seeds a random test plays: fixed ones in CI, others by hand.

#include <cstdint>
#include <cstdlib>

namespace ryefold::testsuite {

/// A number from the environment, or `otherwise`. Tests take their first seed
/// from RYEFOLD_SEED and how many to play from RYEFOLD_RUNS.
inline uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace ryefold::testsuite
