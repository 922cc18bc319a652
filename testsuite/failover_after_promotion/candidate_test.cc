// The choice of the replica to promote shortly after an earlier promotion.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ryefold/core/failover/coordinator.h"

namespace ryefold::core::failover {
namespace {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

class AfterPromotionTest : public testing::Test,
                           public PromotionAuthority,
                           public CoordinatorPort {
 protected:
  void Promote(const std::string& /*group*/, const std::string& database,
               uint64_t /*token*/) override {
    ordered_ = database;
  }
  void Probe(const std::string& /*group*/) override {}
  void PauseReplication(const std::string& /*database*/,
                        uint64_t /*term*/) override {}
  void ResumeReplication(const std::string& /*database*/) override {}
  void Announce(const std::string& /*group*/,
                const std::string& /*database*/) override {}
  void ReplaceToken(const std::string& /*reason*/) override {}

  DatabaseView* Add(const std::string& id, LogPosition received) {
    DatabaseView database;
    database.id = id;
    database.status.received = received;
    database.status.term = received.term;
    database.status_requested_at = At(0);
    database.last_contact = At(0);
    group_.databases.push_back(database);
    return &group_.databases.back();
  }

  GroupView group_;
  std::string ordered_;
};

// A primary with log entries that no replica received was replaced, and the new
// primary fails a second later. All known statuses predate that promotion.
// Promoting the old primary because of them would discard commits that were
// acknowledged under the new term.
TEST_F(AfterPromotionTest, NamesNobodyByAStatusFromBeforeTheTerm) {
  Coordinator coordinator(CoordinatorTiming(), this, this, nullptr);
  group_.group = "group";
  group_.primary = "b";
  group_.term = 2;
  group_.databases.reserve(3);
  Add("a", {1, 118});
  DatabaseView* failed = Add("b", {1, 109});
  failed->primary = true;
  failed->responsive = false;
  failed->unanswered_since = At(-3000);
  Add("c", {1, 109});
  for (int64_t now = 0; now <= 400; now += 100) {
    coordinator.EvaluateGroups(At(now), {group_}, 7);
  }
  EXPECT_EQ(ordered_, "");
}

}  // namespace
}  // namespace ryefold::core::failover
