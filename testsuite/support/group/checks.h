#pragma once

// Helpers for the tests of a group.

#include <memory>
#include <string>
#include <vector>

#include "testsuite/support/group/fake_group.h"

namespace ryefold::test {

/// Returns an idle group with one keeper.
inline std::unique_ptr<FakeGroup> ReadyGroup(GroupShape shape = Tamworth(),
                                             uint64_t seed = 7) {
  auto group = std::make_unique<FakeGroup>(std::move(shape), seed);
  group->AddKeeper();
  group->time().RunFor(std::chrono::seconds(1));
  return group;
}

/// Returns the findings of `HealAndCheck`, one per line.
inline std::string JoinLines(const std::vector<std::string>& errors) {
  std::string text;
  for (const std::string& line : errors) text += line + "\n";
  return text;
}

/// Returns the number of promote calls of all keepers.
inline uint64_t CountPromotions(FakeGroup& group) {
  uint64_t count = 0;
  for (size_t i = 0; i < group.keepers(); ++i) {
    for (const auto& [name, calls] :
         group.keeper(static_cast<int>(i)).promotions) {
      count += calls;
    }
  }
  return count;
}

}  // namespace ryefold::test
