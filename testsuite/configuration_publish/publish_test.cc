// What an operator is told about a change, and what becomes of it.

#include <gtest/gtest.h>

#include <string>

#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {
namespace {

using cfg::PublishStatus;

class Publish : public ::testing::Test {
 protected:
  Publish() : fleet_(FleetOptions{}) {
    settled_ = fleet_.RunUntil([this] { return fleet_.AllReady(); }, 5s);
  }
  void TearDown() override {
    EXPECT_TRUE(settled_);
    EXPECT_TRUE(fleet_.violations.empty()) << fleet_.violations.front();
  }
  PublishStatus StatusOf(cfg::Tag tag) {
    EXPECT_TRUE(fleet_.RunUntilAnswered(tag));
    return fleet_.Answer(tag)->status;
  }
  std::string TextAt(size_t i, const std::string& key) {
    const auto found = fleet_.node(i).documents().find(key);
    if (found == fleet_.node(i).documents().end()) return "";
    return found->second.text.value_or("");
  }

  Fleet fleet_;
  bool settled_ = false;
};

TEST_F(Publish, InForceOnAllOfEightWithinTwoSeconds) {
  const TimePoint begin = fleet_.now();
  const auto tag = fleet_.Publish(5, ChangeOf("a", "group/g1", 0, "one"));
  EXPECT_EQ(StatusOf(tag), PublishStatus::kAccepted);
  EXPECT_GE(fleet_.Answer(tag)->held_by, 3U);
  EXPECT_TRUE(fleet_.RunUntil([&] { return fleet_.InForceEverywhere(1); }, 2s));
  EXPECT_LE(fleet_.now() - begin, 2s);
}

// Two operators read the same version of a template, edit it and publish
// through different instances at the same moment. If both were told
// "accepted", one of them would find the other's text in force.
TEST_F(Publish, OneOfTwoRacingOperatorsWins) {
  const auto a = fleet_.Publish(1, ChangeOf("a", "template/t", 0, "one"));
  const auto b = fleet_.Publish(6, ChangeOf("b", "template/t", 0, "two"));
  const bool a_won = StatusOf(a) == PublishStatus::kAccepted;
  const bool b_won = StatusOf(b) == PublishStatus::kAccepted;
  EXPECT_NE(a_won, b_won);
  const cfg::PublishDone& loser = *fleet_.Answer(a_won ? b : a);
  EXPECT_EQ(loser.status, PublishStatus::kConflict);
  EXPECT_EQ(loser.conflicts,
            (std::vector<cfg::Conflict>{{"template/t", 0, 1}}));
  fleet_.Run(3s);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
  for (size_t i = 0; i < fleet_.size(); ++i) {
    EXPECT_EQ(TextAt(i, "template/t"), a_won ? "one" : "two");
  }
}

// Two changes of two documents each overlap in one. If a part of the loser's
// came into force, a workspace could run with parameters of a template that
// was never published.
TEST_F(Publish, NothingOfALosingChangeIsInForce) {
  cfg::Change a = ChangeOf("a", "template/t", 0, "one");
  a.edits.push_back({"workspace/w", 0, "of one"});
  cfg::Change b = ChangeOf("b", "workspace/w", 0, "of two");
  b.edits.push_back({"workspace/x", 0, "of two"});
  const auto first = fleet_.Publish(2, a);
  const auto second = fleet_.Publish(3, b);
  const bool a_won = StatusOf(first) == PublishStatus::kAccepted;
  EXPECT_EQ(StatusOf(second),
            a_won ? PublishStatus::kConflict : PublishStatus::kAccepted);
  fleet_.Run(3s);
  for (size_t i = 0; i < fleet_.size(); ++i) {
    EXPECT_EQ(TextAt(i, "template/t"), a_won ? "one" : "");
    EXPECT_EQ(TextAt(i, "workspace/x"), a_won ? "" : "of two");
  }
}

// Operators change different keys at the same moment. Nobody is in the other's
// way, so nobody may be told of a conflict.
TEST_F(Publish, ChangesOfDifferentKeysAllPass) {
  std::vector<cfg::Tag> tags;
  for (size_t i = 0; i < fleet_.size(); ++i) {
    const std::string name = std::to_string(i);
    tags.push_back(
        fleet_.Publish(i, ChangeOf(name, "workspace/" + name, 0, "text")));
  }
  for (const cfg::Tag tag : tags) {
    EXPECT_EQ(StatusOf(tag), PublishStatus::kAccepted);
  }
  EXPECT_EQ(fleet_.platform.log().size(), fleet_.size());
}

// The store takes the change and its answer gets lost. Told "conflict" or "not
// taken", the operator would publish once more what is in force already.
TEST_F(Publish, LostAnswerIsSettledByReadingBack) {
  for (size_t i = 0; i < fleet_.size(); ++i) {
    if (i != 4) fleet_.CutFromStore(i);
  }
  fleet_.platform.lose_put_answers = 1;
  const auto tag = fleet_.Publish(4, ChangeOf("a", "group/g", 0, "one"), 20s);
  EXPECT_EQ(StatusOf(tag), PublishStatus::kAccepted);
  EXPECT_EQ(fleet_.Answer(tag)->revision, 1U);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
}

// The store takes the change, its answer gets lost, and the store goes down
// before anybody can read back. "Not taken" would be false: the change is in
// force as soon as the store returns. The operator repeats the same change id
// through another instance and must find it done, once.
TEST_F(Publish, UnsettledChangeIsUnknownAndItsRepeatFindsIt) {
  fleet_.platform.lose_put_answers = 1;
  const cfg::Change change = ChangeOf("a", "group/g", 0, "one");
  for (size_t i = 0; i < fleet_.size(); ++i) {
    if (i != 4) fleet_.CutFromStore(i);
  }
  const auto first = fleet_.Publish(4, change, 6s);
  fleet_.RunUntil([&] { return !fleet_.platform.log().empty(); }, 1s, 1ms);
  fleet_.platform.down = true;
  EXPECT_EQ(StatusOf(first), PublishStatus::kUnknown);
  fleet_.platform.down = false;
  fleet_.Heal();
  const auto second = fleet_.Publish(7, change);
  EXPECT_EQ(StatusOf(second), PublishStatus::kAccepted);
  fleet_.Run(10s);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
  EXPECT_TRUE(fleet_.InForceEverywhere(1));
}

// The operator's tool never got the answer to a change that was accepted, and
// repeats it through another instance. It must learn that the change is in
// force, not that somebody else was faster.
TEST_F(Publish, RepeatOfAnAcceptedChangeIsAcceptedAgain) {
  const cfg::Change change = ChangeOf("a", "workspace/w", 0, "one");
  StatusOf(fleet_.Publish(1, change));
  fleet_.Run(3s);
  const auto again = fleet_.Publish(6, change);
  EXPECT_EQ(StatusOf(again), PublishStatus::kAccepted);
  EXPECT_EQ(fleet_.Answer(again)->revision, 1U);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
}

TEST_F(Publish, AChangeTooLargeForTheStoreIsInvalid) {
  const std::string large(1 << 20, 'x');
  EXPECT_EQ(StatusOf(fleet_.Publish(1, ChangeOf("a", "workspace/w", 0, large))),
            PublishStatus::kInvalid);
  cfg::Change twice = ChangeOf("b", "workspace/w", 0, "one");
  twice.edits.push_back(twice.edits.front());
  EXPECT_EQ(StatusOf(fleet_.Publish(1, twice)), PublishStatus::kInvalid);
  EXPECT_EQ(fleet_.platform.puts, 0U);
}

// A change created a key, its answer got lost, somebody deleted the key, and
// then the operator's tool repeats the change. Taken again, it would bring
// back a workspace that was deleted on purpose.
TEST_F(Publish, LateRepeatDoesNotUndoADeletion) {
  const cfg::Change change = ChangeOf("a", "workspace/w", 0, "one");
  StatusOf(fleet_.Publish(1, change));
  EXPECT_EQ(StatusOf(fleet_.Publish(2, ChangeOf("b", "workspace/w", 1, ""))),
            PublishStatus::kAccepted);
  EXPECT_EQ(StatusOf(fleet_.Publish(3, change)), PublishStatus::kConflict);
  EXPECT_EQ(TextAt(3, "workspace/w"), "");
}

// The store cannot be reached at all. The operator learns that nothing was
// taken, and nothing turns up later.
TEST_F(Publish, StoreDownMeansNotTaken) {
  fleet_.platform.down = true;
  const auto tag = fleet_.Publish(3, ChangeOf("a", "group/g", 0, "one"), 4s);
  EXPECT_NE(StatusOf(tag), PublishStatus::kAccepted);
  fleet_.platform.down = false;
  fleet_.Run(20s);
  EXPECT_TRUE(fleet_.platform.log().empty());
}

// Every call to the store takes three seconds for a long time. Changes must
// pass all the same, each once.
TEST_F(Publish, SlowStoreStillTakesChanges) {
  fleet_.platform.slowness = 3000ms;
  std::vector<cfg::Tag> tags;
  for (int i = 0; i < 3; ++i) {
    const std::string name = std::to_string(i);
    tags.push_back(
        fleet_.Publish(2, ChangeOf(name, "workspace/" + name, 0, "text"), 40s));
  }
  for (const cfg::Tag tag : tags) {
    EXPECT_TRUE(fleet_.RunUntilAnswered(tag, 60s));
    EXPECT_EQ(fleet_.Answer(tag)->status, PublishStatus::kAccepted);
  }
  EXPECT_EQ(fleet_.platform.log().size(), 3U);
  EXPECT_TRUE(fleet_.RunUntil([&] { return fleet_.InForceEverywhere(3); }, 2s));
}

// The instance that took a change dies as soon as the operator has been told
// "accepted", and the store goes down at the same moment. Had nobody else held
// the change, all others would go on with the old configuration through the
// outage although the operator was told otherwise.
TEST(PublishSeeds, AcceptedChangeOutlivesItsPublisherAndTheStore) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetOptions options;
    options.seed = seed;
    Fleet fleet(options);
    ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllReady(); }, 5s));
    for (size_t publisher = 0; publisher < fleet.size(); ++publisher) {
      const std::string name = std::to_string(publisher);
      const auto tag = fleet.Publish(
          publisher, ChangeOf(name, "workspace/" + name, 0, "text"));
      ASSERT_TRUE(fleet.RunUntil([&] { return fleet.Answer(tag) != nullptr; },
                                 20s, 1ms));
      ASSERT_EQ(fleet.Answer(tag)->status, PublishStatus::kAccepted);
      fleet.Kill(publisher);
      fleet.platform.down = true;
      EXPECT_TRUE(fleet.RunUntil(
          [&] { return fleet.InForceEverywhere(publisher + 1); }, 2s))
          << "seed " << seed << " publisher " << publisher;
      fleet.platform.down = false;
      fleet.Start(publisher);
      fleet.Run(3s);
    }
    EXPECT_TRUE(fleet.violations.empty());
  }
}

// The publishing instance reaches the store but no other instance. Accepted
// would be a promise that its own death breaks.
TEST_F(Publish, NotAcceptedWhileNobodyElseHoldsIt) {
  for (size_t i = 1; i < fleet_.size(); ++i) {
    fleet_.Cut(0, i);
    fleet_.CutFromStore(i);
  }
  const auto tag = fleet_.Publish(0, ChangeOf("a", "group/g", 0, "one"));
  EXPECT_EQ(StatusOf(tag), PublishStatus::kUnknown);
  EXPECT_EQ(fleet_.Answer(tag)->revision, 1U);
  EXPECT_EQ(fleet_.Answer(tag)->held_by, 1U);
}

// The operator edits what he saw on one instance and publishes through
// another that has not heard of that version yet. That is no conflict.
TEST_F(Publish, AnInstanceThatIsBehindCatchesUpFirst) {
  for (size_t i = 0; i < fleet_.size(); ++i) {
    if (i != 7) fleet_.Cut(7, i);
  }
  fleet_.CutFromStore(7);
  fleet_.Run(500ms);
  StatusOf(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  const uint64_t seen = fleet_.node(1).documents().at("group/g").version;
  fleet_.Heal();
  EXPECT_EQ(StatusOf(fleet_.Publish(7, ChangeOf("b", "group/g", seen, "two"))),
            PublishStatus::kAccepted);
}

TEST_F(Publish, CountsWhereARevisionIsInForce) {
  StatusOf(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  fleet_.Run(2s);
  fleet_.Count(4, 1);
  ASSERT_TRUE(fleet_.RunUntil([&] { return fleet_.counted.size() == 1; }, 5s));
  EXPECT_EQ(fleet_.counted[0].in_force, 8U);
  EXPECT_EQ(fleet_.counted[0].instances, 8U);
  EXPECT_TRUE(fleet_.counted[0].missing.empty());
}

// One instance is dead and the list does not say so yet. The count names it
// instead of hiding it.
TEST_F(Publish, CountNamesTheMissing) {
  fleet_.Kill(3);
  StatusOf(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  fleet_.Run(2s);
  fleet_.Count(4, 1);
  ASSERT_TRUE(fleet_.RunUntil([&] { return fleet_.counted.size() == 1; }, 9s));
  EXPECT_EQ(fleet_.counted[0].in_force, 7U);
  EXPECT_EQ(fleet_.counted[0].missing, (std::vector<std::string>{"i0003"}));
}

TEST_F(Publish, HistoryNamesEachVersionOfAKey) {
  StatusOf(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  StatusOf(fleet_.Publish(2, ChangeOf("x", "group/h", 0, "other")));
  StatusOf(fleet_.Publish(2, ChangeOf("b", "group/g", 1, "two")));
  fleet_.Run(1s);
  fleet_.AskHistory(6, "group/g");
  ASSERT_TRUE(
      fleet_.RunUntil([&] { return fleet_.histories.size() == 1; }, 5s));
  const cfg::HistoryDone& done = fleet_.histories[0];
  EXPECT_TRUE(done.complete);
  ASSERT_EQ(done.entries.size(), 2U);
  EXPECT_EQ(done.entries[0].version, 3U);
  EXPECT_EQ(done.entries[0].text, "two");
  EXPECT_EQ(done.entries[1].change_id, "a");
}

}  // namespace
}  // namespace ryefold::testing::control
