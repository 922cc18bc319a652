// Terms, roles and the log.

#include "testsuite/standin_database/fixture.h"

namespace ryefold::standins {
namespace {

using core::DatabaseRole;
using core::ExecuteStatus;

TEST_F(Group, StartsWithOnePrimaryOfTermOne) {
  EXPECT_EQ(a_.status().role, DatabaseRole::kPrimary);
  EXPECT_EQ(b_.status().role, DatabaseRole::kReplica);
  EXPECT_EQ(a_.status().term_starts.front(), (core::TermStart{1, 1}));
  EXPECT_EQ(b_.status().last, a_.status().last);
}

TEST_F(Group, AdoptsOnlyHigherTermsAndRepeats) {
  EXPECT_TRUE(b_.Adopt({5, "one"}).accepted);
  EXPECT_TRUE(b_.Adopt({5, "one"}).accepted);
  EXPECT_FALSE(b_.Adopt({5, "two"}).accepted);
  EXPECT_FALSE(b_.Adopt({4, "one"}).accepted);
  EXPECT_EQ(b_.status().proposer, "one");
}

TEST_F(Group, PromotesOnlyTheAdoptedTermAndProposer) {
  ASSERT_TRUE(b_.Adopt({2, "one"}).accepted);
  EXPECT_FALSE(b_.Promote(now_, {2, "two"}).accepted);
  EXPECT_FALSE(b_.Promote(now_, {3, "one"}).accepted);
  EXPECT_TRUE(b_.Promote(now_, {2, "one"}).accepted);
  EXPECT_EQ(b_.status().last.term, 2U);
}

// The answer to a promotion is lost and the proposer sends it again, or a
// repeat of its adoption arrives late. A second entry, or a primary turned back
// into a replica, would be a change of primary that nobody ordered.
TEST_F(Group, RepeatsOfAPromotionChangeNothing) {
  Promote(2, &b_, &c_);
  const core::LogPosition last = b_.status().last;
  EXPECT_TRUE(b_.Promote(now_, {2, "keeper"}).accepted);
  EXPECT_TRUE(b_.Adopt({2, "keeper"}).accepted);
  EXPECT_EQ(b_.status().last, last);
  EXPECT_TRUE(b_.primary());
}

// A proposer that mixes up its candidates orders a follower of its term to be
// primary too. Two primaries of one term would write different entries at the
// same positions, and nobody could tell them apart.
TEST_F(Group, OneTermHasOnePrimary) {
  Promote(2, &b_, &c_);
  EXPECT_FALSE(c_.Promote(now_, {2, "keeper"}).accepted);
  EXPECT_FALSE(b_.Follow({2, "keeper", "c"}).accepted);
  EXPECT_TRUE(b_.primary());
  EXPECT_FALSE(c_.primary());
}

TEST_F(Group, FollowOfAHigherTermAdoptsIt) {
  EXPECT_FALSE(c_.Follow({1, "other", "b"}).accepted);
  EXPECT_TRUE(c_.Follow({3, "other", "b"}).accepted);
  EXPECT_EQ(c_.adopted_term(), 3U);
  EXPECT_EQ(c_.following(), "b");
}

// The old primary has been replaced, and a keeper that does not know it yet
// goes on sending statements of the old term. A write that ran now would be
// acknowledged and then lost.
TEST_F(Group, StatementsOfALowerTermAreRefused) {
  const auto write = WriteCall(a_, "late", "INSERT INTO t VALUES (1, 'x')");
  auto read = write;
  read.kind = core::StatementKind::kRead;
  read.sql = "SELECT 1";
  const core::LogPosition before = a_.status().last;
  ASSERT_TRUE(a_.Adopt({2, "keeper"}).accepted);
  EXPECT_EQ(StatusOf(&a_, kFirst, write), ExecuteStatus::kStaleTerm);
  EXPECT_EQ(StatusOf(&a_, kFirst, read), ExecuteStatus::kStaleTerm);
  EXPECT_EQ(a_.status().last, before);
  EXPECT_EQ(a_.status().role, DatabaseRole::kReplica);
}

// Cut off from its peers, the old primary has not heard of the new term, and
// callers still reach it. It takes writes of its own term only: one that
// belongs to a later term is not its to run.
TEST_F(Group, APrimaryWritesOnlyUnderItsOwnTerm) {
  auto call = WriteCall(a_, "new", "INSERT INTO t VALUES (1, 'x')");
  call.term = 2;
  EXPECT_EQ(StatusOf(&a_, kFirst, call), ExecuteStatus::kNotPrimary);
  call.term = 1;
  EXPECT_EQ(StatusOf(&b_, kFirst, call), ExecuteStatus::kNotPrimary);
}

TEST_F(Group, LogShippingOfAnotherTermIsRefusedByBothSides) {
  ASSERT_TRUE(b_.Adopt({2, "keeper"}).accepted);
  EXPECT_FALSE(Pull(&a_, &b_));
  EXPECT_FALSE(b_.TakeEntries(1, {}));
  EXPECT_FALSE(Pull(&b_, &c_));
}

TEST_F(Group, AReplicaServesNoLog) { EXPECT_FALSE(Pull(&b_, &c_)); }

// The primary wrote entries that no replica had when it was cut off; a replica
// was promoted and went on without them. When the old primary comes back, those
// entries have to go, or reads there would show writes that did not happen.
TEST_F(Group, AnEntryThatDiffersIsCutOffWithAllThatFollows) {
  ASSERT_TRUE(Insert(&a_, "kept"));
  Pull(&a_, &b_);
  Pull(&a_, &c_);
  ASSERT_TRUE(Insert(&a_, "lost-1"));
  ASSERT_TRUE(Insert(&a_, "lost-2"));
  Promote(2, &b_, &c_);
  ASSERT_TRUE(Insert(&b_, "after"));
  ASSERT_TRUE(a_.Follow({2, "keeper", "b"}).accepted);
  ASSERT_TRUE(Pull(&b_, &a_));
  ASSERT_TRUE(Pull(&b_, &c_));
  EXPECT_EQ(a_.status().last, b_.status().last);
  EXPECT_EQ(a_.status().term_starts, b_.status().term_starts);
  EXPECT_EQ(Rows(&a_), Rows(&b_));
  EXPECT_EQ(Rows(&a_), Rows(&c_));
  EXPECT_EQ(Rows(&a_).find("lost"), std::string::npos);
}

// The same as above, seen by the records: the id of a discarded write must be
// free again, or its repeat would be answered as done.
TEST_F(Group, RecordsOfDiscardedEntriesGoWithThem) {
  ASSERT_TRUE(Insert(&a_, "lost"));
  Promote(2, &b_, &c_);
  ASSERT_TRUE(a_.Follow({2, "keeper", "b"}).accepted);
  ASSERT_TRUE(Pull(&b_, &a_));
  Promote(3, &a_, &c_);
  const auto answer = Run(
      &a_, kFirst, WriteCall(a_, "lost", "INSERT INTO t VALUES (1, 'again')"));
  EXPECT_EQ(answer->status, ExecuteStatus::kOk);
  EXPECT_FALSE(answer->from_record);
}

TEST_F(Group, EntriesAreShippedNoSoonerThanTheirLag) {
  lag_ = std::chrono::milliseconds(50);
  ASSERT_TRUE(Insert(&a_, "new"));
  const core::LogPosition before = b_.status().last;
  EXPECT_TRUE(Pull(&a_, &b_));
  EXPECT_EQ(b_.status().last, before);
  now_ += lag_;
  EXPECT_TRUE(Pull(&a_, &b_));
  EXPECT_EQ(b_.status().last, a_.status().last);
}

}  // namespace
}  // namespace ryefold::standins
