// A commit made between the coordinator's reading of the replicas and the
// arrival of its announcement.

#include <gtest/gtest.h>

#include "testsuite/support/session/failover_run.h"

namespace ryefold::testsuite {
namespace {

constexpr uint64_t kSeed = 20263173;

// The primary is unreachable for the coordinator alone. One replica receives a
// commit after it was read, an instance that has not heard of the order yet
// acknowledges it, and the other replica becomes primary.
TEST(FailoverRandom, LosesNoCommitMadeBeforeTheAnnouncementArrives) {
  FailoverSum sum;
  RunFailoverSeed(kSeed, /*stay_active=*/false, &sum);
}

}  // namespace
}  // namespace ryefold::testsuite
