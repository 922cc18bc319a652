// Random faults with one or several keepers, and callers that repeat requests
// and ask for outcomes: the answers are checked against the databases' logs.

#include <gtest/gtest.h>

// clang-format off: rapidcheck/gtest.h needs gtest.h before it.
#include <rapidcheck/gtest.h>
// clang-format on

#include "testsuite/support/group/random_run.h"

namespace rc {

template <>
struct Arbitrary<ryefold::test::Fault> {
  static Gen<ryefold::test::Fault> arbitrary() {
    using ryefold::test::Fault;
    using ryefold::test::FaultKind;
    const int kinds = static_cast<int>(FaultKind::kCount);
    return gen::build<Fault>(
        gen::set(&Fault::kind, gen::map(gen::inRange(0, kinds),
                                        [](int kind) {
                                          return static_cast<FaultKind>(kind);
                                        })),
        gen::set(&Fault::which, gen::inRange(0, 3)),
        gen::set(&Fault::at_ms, gen::inRange(0, 6000)),
        gen::set(&Fault::for_ms, gen::inRange(10, 4000)));
  }
};

}  // namespace rc

namespace ryefold::test {
namespace {

// Databases die, freeze, lag and get partitioned; answers are late or lost;
// keepers freeze, die, return or run side by side, and promotions race. Fails
// on a lost or doubled write, a write that appears after it was refused, a read
// without the session's own write, or a missing answer.
RC_GTEST_PROP(RandomFaults, WhatCallersAreToldIsTrue, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  // Ranges grow with the size; a small size would never draw most fault kinds.
  const auto count = *rc::gen::resize(100, rc::gen::inRange<size_t>(0, 12));
  const auto faults = *rc::gen::container<std::vector<Fault>>(
      count, rc::gen::resize(100, rc::gen::arbitrary<Fault>()));
  const bool wide = *rc::gen::arbitrary<bool>();
  RandomRun run(wide ? Zendmast() : Tamworth(), seed);
  const std::vector<std::string> errors = run.Run(faults);
  for (const std::string& text : errors) RC_LOG(text);
  RC_ASSERT(errors.empty());
}

}  // namespace
}  // namespace ryefold::test
