// Primaries and connections that fall silent, and what callers get.

#include <gtest/gtest.h>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

class SilenceTest : public ProxyTest {
 protected:
  std::string PrimaryKnown() {
    return hosts_[0]->proxy()->groups(clock_.now()).front().primary;
  }
};

// A database has just been promoted, as instances were told that it would be,
// and falls silent for a moment. The word that it was about to lead is still
// young, and made an instance give up the one that does not answer, as if that
// were the one to be replaced: its callers were told that nobody leads, though
// the new primary was back at once.
TEST_F(SilenceTest, ASuccessorIsNotGivenUpForItself) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->ExpectPrimary(clock_.now(), "group", "db-b");
  cluster_.Promote("db-b");
  for (int i = 0; i < 100 && PrimaryKnown() != "db-b"; ++i) Run(10);
  ASSERT_EQ(PrimaryKnown(), "db-b");
  hosts_[0]->SilenceConnections();
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  for (int i = 0; i < 80; ++i) {
    Run(10);
    ASSERT_EQ(PrimaryKnown(), "db-b") << i;
  }
}

// Every connection to the primary falls silent at one moment, each with a
// statement on it, while new ones work. All that an instance may open are
// taken, and it asks the primary on one more, which falls silent as well. Until
// these are given up, three seconds later, its callers are refused.
TEST_F(SilenceTest, WritesSoonAfterAllConnectionsHaveFallenSilent) {
  Make(1);
  for (CallerId id = 1; id <= 12; ++id) Start(0, id, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  for (CallerId id = 1; id <= 6; ++id) {
    Send(0, id, StatementKind::kWrite, "WRITE k v");
  }
  Run(1);
  // What is opened in the next moment falls silent as well.
  for (int i = 0; i < 12; ++i) {
    hosts_[0]->SilenceConnections();
    Run(50);
  }
  const TimePoint silent_until = clock_.now();
  while (Write(0, 12) != ErrorCode::kNone) Run(50);
  EXPECT_LT(clock_.now() - silent_until, milliseconds(1500));
}

}  // namespace
}  // namespace ryefold::testsuite
