#pragma once

// Seed selection for random tests: fixed in CI, overridable by environment.

#include <cstdint>
#include <cstdlib>

namespace ryefold::testsuite {

/// Returns an unsigned number from an environment variable, or `default_value`
/// if it is not set. RYEFOLD_SEED is the first seed, RYEFOLD_RUNS the number of
/// seeds.
inline uint64_t FromEnvironment(const char* name, uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

}  // namespace ryefold::testsuite
