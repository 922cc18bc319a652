// Unit tests of the confirmation tracker and of the proposer.

#include "ryefold/core/group/confirmation.h"

#include <gtest/gtest.h>

#include "ryefold/core/group/promotion.h"

namespace ryefold::core::group {
namespace {

constexpr TimePoint kSent{};

DatabaseStatus Status(const std::string& name, uint64_t adopted,
                      std::vector<TermStart> starts, LogPosition last) {
  DatabaseStatus status;
  status.database = name;
  status.adopted_term = adopted;
  status.term_starts = std::move(starts);
  status.last = last;
  return status;
}

ConfirmationTracker MakeTrackerOfThree() {
  ConfirmationTracker confirmation;
  confirmation.SetDatabases({"a", "b", "c"});
  return confirmation;
}

TEST(Confirmation, AWriteIsKeptOnceAReplicaHoldsItToo) {
  ConfirmationTracker confirmation = MakeTrackerOfThree();
  confirmation.RecordStatus("a", Status("a", 1, {{1, 1}}, {1, 5}), kSent);
  EXPECT_EQ(confirmation.ClassifyEntry({1, 5}), LogEntryState::kPending);
  confirmation.RecordStatus("b", Status("b", 1, {{1, 1}}, {1, 4}), kSent);
  EXPECT_EQ(confirmation.ClassifyEntry({1, 4}), LogEntryState::kConfirmed);
  EXPECT_EQ(confirmation.ClassifyEntry({1, 5}), LogEntryState::kPending);
}

// A write of term 2 reached no replica. The database promoted in term 3 has a
// longer log of term 1, so the write's index precedes the start of term 3 in a
// log that never contained the write. Comparing indexes alone would report it
// as done.
TEST(Confirmation, AnIndexBelowTheNewTermIsNotEnoughToBeKept) {
  ConfirmationTracker confirmation = MakeTrackerOfThree();
  const std::vector<TermStart> starts = {{1, 1}, {3, 9}};
  confirmation.RecordStatus("b", Status("b", 3, starts, {3, 9}), kSent);
  confirmation.RecordStatus("c", Status("c", 3, starts, {3, 9}), kSent);
  EXPECT_EQ(confirmation.ClassifyEntry({2, 6}), LogEntryState::kDiscarded);
  EXPECT_EQ(confirmation.ClassifyEntry({1, 6}), LogEntryState::kConfirmed);
}

// The new primary's log shows a write as discarded. Until a second database has
// an entry of the new term, a third term can bring the write back.
TEST(Confirmation, ANewTermOnOneDatabaseDecidesNothing) {
  ConfirmationTracker confirmation = MakeTrackerOfThree();
  confirmation.RecordStatus("b", Status("b", 2, {{1, 1}, {2, 5}}, {2, 5}),
                            kSent);
  confirmation.RecordStatus("c", Status("c", 2, {{1, 1}}, {1, 4}), kSent);
  EXPECT_EQ(confirmation.ClassifyEntry({1, 7}), LogEntryState::kPending);
  confirmation.RecordStatus("c", Status("c", 2, {{1, 1}, {2, 5}}, {2, 5}),
                            kSent);
  EXPECT_EQ(confirmation.ClassifyEntry({1, 7}), LogEntryState::kDiscarded);
}

// A majority holds an entry of an older term, but one database holds an entry
// of a newer term without it and can be promoted over both.
TEST(Confirmation, EntriesOfAnOlderTermAreNotCountedByThemselves) {
  ConfirmationTracker confirmation = MakeTrackerOfThree();
  confirmation.RecordStatus("c", Status("c", 3, {{1, 1}, {3, 5}}, {3, 5}),
                            kSent);
  confirmation.RecordStatus("a", Status("a", 3, {{1, 1}, {2, 5}}, {2, 6}),
                            kSent);
  confirmation.RecordStatus("b", Status("b", 3, {{1, 1}, {2, 5}}, {2, 6}),
                            kSent);
  EXPECT_EQ(confirmation.ClassifyEntry({2, 6}), LogEntryState::kPending);
}

// The last entries are of different terms, and the longer log is the older one:
// writes acknowledged by a majority are in the shorter log.
TEST(Proposal, TheLaterTermGoesBeforeTheLongerLog) {
  Promotion promotion("instance#1", {}, 1);
  const TimePoint now = kSent + std::chrono::seconds(1);
  promotion.Start(now, 3, {{"a", false, true}, {"b"}, {"c"}});
  ASSERT_EQ(promotion.TakeCalls().size(), 3u);
  const uint64_t term = promotion.term();
  EXPECT_EQ(term, 4u);
  AdoptAnswer answer{true, Status("b", term, {{1, 1}}, {1, 90})};
  promotion.OnAdoptAnswer(now, term, "b", answer);
  answer.status = Status("c", term, {{1, 1}, {3, 50}}, {3, 60});
  promotion.OnAdoptAnswer(now, term, "c", answer);
  const auto calls = promotion.TakeCalls();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls.front().database, "c");
}

// Two databases refuse the term because they have adopted a higher one.
// Promoting the one that accepted would give the group a second primary.
TEST(Proposal, NothingIsPromotedWithoutAMajority) {
  Promotion promotion("instance#1", {}, 1);
  const TimePoint now = kSent + std::chrono::seconds(1);
  promotion.Start(now, 3, {{"a"}, {"b"}, {"c"}});
  promotion.TakeCalls();
  const uint64_t term = promotion.term();
  promotion.OnAdoptAnswer(now, term, "a",
                          {true, Status("a", term, {{1, 1}}, {1, 9})});
  promotion.OnAdoptAnswer(now, term, "b",
                          {false, Status("b", term + 1, {{1, 1}}, {1, 9})});
  promotion.OnAdoptAnswer(now, term, "c",
                          {false, Status("c", term + 1, {{1, 1}}, {1, 9})});
  EXPECT_TRUE(promotion.TakeCalls().empty());
  EXPECT_FALSE(promotion.IsReady(now));
  promotion.Start(now + std::chrono::seconds(1), 3, {{"a"}, {"b"}, {"c"}});
  EXPECT_EQ(promotion.term(), term + 2);
}

// The partitioned primary is reachable and reports the furthest log, but must
// not be chosen; the other two are a majority.
TEST(Proposal, AnIneligibleDatabaseIsNotChosenThoughItIsFurthest) {
  Promotion promotion("instance#1", {}, 1);
  const TimePoint now = kSent + std::chrono::seconds(1);
  promotion.Start(now, 1, {{"a", false, true}, {"b"}, {"c"}});
  promotion.TakeCalls();
  const uint64_t term = promotion.term();
  promotion.OnAdoptAnswer(now, term, "a",
                          {true, Status("a", term, {{1, 1}}, {1, 20})});
  promotion.OnAdoptAnswer(now, term, "b",
                          {true, Status("b", term, {{1, 1}}, {1, 9})});
  EXPECT_TRUE(promotion.TakeCalls().empty());
  promotion.OnAdoptAnswer(now, term, "c",
                          {true, Status("c", term, {{1, 1}}, {1, 8})});
  const auto calls = promotion.TakeCalls();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls.front().database, "b");
}

// Only the partitioned primary and a replica behind it are left. The replica
// may lack writes that both acknowledged, so it must not be promoted.
TEST(Proposal, AMajorityFurtherThanTheCandidateForbidsIt) {
  Promotion promotion("instance#1", {}, 1);
  const TimePoint now = kSent + std::chrono::seconds(1);
  promotion.Start(now, 1, {{"a", true, true}, {"b"}, {"c", false}});
  promotion.TakeCalls();
  const uint64_t term = promotion.term();
  promotion.OnAdoptAnswer(now, term, "a",
                          {true, Status("a", term, {{1, 1}}, {1, 20})});
  promotion.OnAdoptAnswer(now, term, "b",
                          {true, Status("b", term, {{1, 1}}, {1, 9})});
  EXPECT_TRUE(promotion.TakeCalls().empty());
}

}  // namespace
}  // namespace ryefold::core::group
