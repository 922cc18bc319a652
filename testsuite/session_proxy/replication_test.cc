// Replicas that are paused before a promotion.

#include <gtest/gtest.h>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

class ReplicationTest : public ProxyTest {
 protected:
  /// Term of the pause that the instance knows of; 0 if it knows of none.
  uint64_t KnownPause(const std::string& id) {
    const auto group = hosts_[0]->proxy()->groups(clock_.now()).front();
    for (const auto& database : group.databases) {
      if (database.id == id) return database.status.paused_term;
    }
    return 0;
  }
};

// A replica that still receives confirms commits that a promotion discards.
TEST_F(ReplicationTest, APausedReplicaReceivesNothingUntilItIsResumed) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->PauseReplication(clock_.now(), "db-b", 2);
  RunFor(100);
  const size_t received = cluster_.database("db-b").log.size();
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RunFor(100);
  EXPECT_EQ(cluster_.database("db-b").log.size(), received);
  EXPECT_EQ(KnownPause("db-b"), 2U);
  hosts_[0]->proxy()->ResumeReplication(clock_.now(), "db-b");
  RunFor(100);
  EXPECT_EQ(cluster_.database("db-b").log.size(),
            cluster_.database("db-a").log.size());
  EXPECT_EQ(KnownPause("db-b"), 0U);
}

// A pause that waits behind callers' statements would delay the promotion.
TEST_F(ReplicationTest, PausesABusyReplica) {
  fleet_.connection_limit = 3;
  CreateInstances(1);
  constexpr CallerId kCallers = 12;
  for (CallerId caller = 1; caller <= kCallers; ++caller) {
    StartSession(0, caller, "bounded");
    Send(0, caller, StatementKind::kRead, "READ k");
  }
  hosts_[0]->proxy()->PauseReplication(clock_.now(), "db-b", 2);
  RunFor(100);
  EXPECT_EQ(cluster_.database("db-b").paused_term, 2U);
}

}  // namespace
}  // namespace ryefold::testsuite
