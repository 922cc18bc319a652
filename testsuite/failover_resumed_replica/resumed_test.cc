// A replica that a new holder of the duty resumes before it hears of an order.

#include <gtest/gtest.h>

#include "testsuite/support/session/failover_run.h"

namespace ryefold::testsuite {
namespace {

constexpr uint64_t kSeed = 20402352;
constexpr milliseconds kLateAnnouncement{900};

// The resumed replica confirms commits that the order in progress discards.
TEST(FailoverRandom, LosesNoCommitByAReplicaThatANewHolderResumes) {
  FailoverSum sum;
  RunFailoverSeed(kSeed, /*stay_active=*/false, &sum, kLateAnnouncement);
}

}  // namespace
}  // namespace ryefold::testsuite
