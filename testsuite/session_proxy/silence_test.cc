// Unresponsive primaries and connections, and the replies that callers get.

#include <gtest/gtest.h>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

class UnresponsivePrimaryTest : public ProxyTest {
 protected:
  std::string KnownPrimary() {
    return hosts_[0]->proxy()->groups(clock_.now()).front().primary;
  }
};

// Instances are notified of a promotion, the database is promoted, and it then
// stops answering briefly. The recent notification must not make an instance
// drop the new primary as if it were the one to be replaced: callers would be
// refused for lack of a primary although the new one recovers at once.
TEST_F(UnresponsivePrimaryTest, KeepsANewPrimaryThatBrieflyStopsAnswering) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->ExpectPrimary(clock_.now(), "group", "db-b");
  cluster_.Promote("db-b");
  for (int i = 0; i < 100 && KnownPrimary() != "db-b"; ++i) RunFor(10);
  ASSERT_EQ(KnownPrimary(), "db-b");
  hosts_[0]->StallConnections();
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  for (int i = 0; i < 80; ++i) {
    RunFor(10);
    ASSERT_EQ(KnownPrimary(), "db-b") << i;
  }
}

// All connections to the primary stop carrying data at once, each with a
// statement in flight, while new connections work. They occupy the instance's
// whole connection limit, and a further one for the status call fails the same
// way. If they were closed only after three seconds, callers would be refused
// until then.
TEST_F(UnresponsivePrimaryTest, WritesSoonAfterAllConnectionsStopAnswering) {
  CreateInstances(1);
  for (CallerId id = 1; id <= 12; ++id) StartSession(0, id, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  for (CallerId id = 1; id <= 6; ++id) {
    Send(0, id, StatementKind::kWrite, "WRITE k v");
  }
  RunFor(1);
  // Connections opened during the next 600 ms drop their data as well.
  for (int i = 0; i < 12; ++i) {
    hosts_[0]->StallConnections();
    RunFor(50);
  }
  const TimePoint outage_end = clock_.now();
  while (Write(0, 12) != ErrorCode::kNone) RunFor(50);
  EXPECT_LT(clock_.now() - outage_end, milliseconds(1500));
}

}  // namespace
}  // namespace ryefold::testsuite
